use std::time::Duration;

use super::core::Core;
use super::input::Input;

/// Maximum number of queued inputs handled before the replica's actions run.
const MAX_INPUTS_PER_TURN: usize = 256;

/// Reason why the core has ended.
#[derive(Debug)]
pub(in crate::scheduler) enum Ended {
    /// The group has removed the replica, which may rejoin with an empty data folder.
    Removed,
    /// A fatal error, after which the process must end.
    Failed(String),
}

/// Runs the core until it ends.
pub(in crate::scheduler) async fn run(mut core: Core, inputs: &flume::Receiver<Input>) -> Ended {
    let clock = core.cfg.clock;
    let mut ticked_at = clock.now();
    loop {
        let has_work = core.has_placement_left(clock.now());
        let wait = if has_work { Duration::ZERO } else { Core::TICK };
        let input = monoio::time::timeout(wait, inputs.recv_async()).await;
        let now = clock.now();
        match input {
            Ok(Ok(input)) => core.handle(now, input),
            Ok(Err(_)) => {
                return Ended::Failed("the input channel of the core is closed".to_owned());
            }
            Err(_) => {}
        }
        for input in inputs.try_iter().take(MAX_INPUTS_PER_TURN) {
            core.handle(now, input);
        }
        // The time-out above never expires while the queue is busy, so ticks are checked here.
        if now.since(ticked_at) >= Core::TICK {
            core.tick(now);
            ticked_at = now;
        }
        core.run_actions(now);
        if core.was_removed() {
            return Ended::Removed;
        }
        if let Some(failure) = core.get_failure() {
            return Ended::Failed(failure.to_owned());
        }
    }
}
