use super::core::Core;
use super::input::Input;

const MAX_INPUTS_PER_TURN: usize = 256;

/// Runs the core until its process must end; gives the reason.
pub(in crate::scheduler) async fn run(mut core: Core, inputs: flume::Receiver<Input>) -> String {
    let clock = core.cfg.clock;
    let mut ticked_at = clock.now();
    loop {
        let input = monoio::time::timeout(Core::TICK, inputs.recv_async()).await;
        let now = clock.now();
        match input {
            Ok(Ok(input)) => core.handle(now, input),
            Ok(Err(_)) => return "every sender is gone".to_owned(),
            Err(_) => {}
        }
        for input in inputs.try_iter().take(MAX_INPUTS_PER_TURN) {
            core.handle(now, input);
        }
        // A busy queue must not put the tick off.
        if now.since(ticked_at) >= Core::TICK {
            core.tick(now);
            ticked_at = now;
        }
        core.pump(now);
        if let Some(failure) = core.get_failure() {
            return failure.to_owned();
        }
    }
}
