use std::time::Duration;

use super::core::Core;
use super::input::Input;
use crate::clock;

/// Interval between ticks, and the longest wait for a message.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of queued messages that are handled before the next tick check.
const MAX_INPUTS_PER_TURN: usize = 256;

/// Runs the core until the process must exit, and returns the reason.
pub(in crate::control) async fn run(
    mut core: Core,
    inputs: flume::Receiver<Input>,
    clock: clock::Clock,
) -> String {
    let mut last_tick = clock.now();
    loop {
        let input = monoio::time::timeout(TICK_INTERVAL, inputs.recv_async()).await;
        let now = clock.now();
        match input {
            Ok(Ok(input)) => core.handle(now, input),
            Ok(Err(_)) => return "the input channel of the core is closed".to_owned(),
            Err(_) => {}
        }
        for input in inputs.try_iter().take(MAX_INPUTS_PER_TURN) {
            core.handle(now, input);
        }
        // The timeout above does not fire while messages keep arriving, so the tick has its own
        // check.
        if now.since(last_tick) >= TICK_INTERVAL {
            core.tick(now);
            last_tick = now;
        }
        core.run_pending(now);
        if let Some(failure) = core.get_failure() {
            return failure.to_owned();
        }
    }
}
