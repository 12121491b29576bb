use std::rc::Rc;
use std::time::Duration;

use super::handle::Dispatcher;
use super::state::{DispatchConfig, State};
use crate::clock;
use crate::entry::pool;
use crate::entry::probe;

/// Period at which the routers' timers run.
const TICK: Duration = Duration::from_millis(10);

/// Starts the dispatcher's task.
///
/// The receiver yields a value when a heartbeat should be sent ahead of its period.
pub fn start(
    cfg: DispatchConfig,
    clock: clock::Clock,
    pool: Rc<pool::Pool>,
) -> (Dispatcher, flume::Receiver<()>) {
    let (tx, rx) = flume::unbounded();
    let dispatcher = Dispatcher { tx };
    let state = State::new(cfg);
    let (due, heartbeats_due) = flume::bounded(1);
    monoio::spawn(run(state, rx, clock, dispatcher.clone(), pool, due));
    (dispatcher, heartbeats_due)
}

async fn run(
    mut state: State,
    rx: flume::Receiver<super::input::Input>,
    clock: clock::Clock,
    dispatcher: Dispatcher,
    pool: Rc<pool::Pool>,
    heartbeat_due: flume::Sender<()>,
) {
    let mut ticked_at = clock.now();
    loop {
        let input = monoio::time::timeout(TICK, rx.recv_async()).await;
        let now = clock.now();
        match input {
            Ok(Ok(input)) => state.handle(now, input),
            Ok(Err(_)) => return,
            Err(_) => {}
        }
        // Checked after every message, so that a constant stream of messages cannot delay the tick.
        if now.since(ticked_at) >= TICK {
            state.tick(now);
            pool.close_expired();
            if state.take_heartbeat_due(now) {
                heartbeat_due.try_send(()).ok();
            }
            ticked_at = now;
        }
        for address in state.effects.idle_closes.drain(..) {
            pool.close_idle(address);
        }
        for probe in state.effects.probes.drain(..) {
            let dispatcher = dispatcher.clone();
            monoio::spawn(async move {
                let is_healthy = probe::is_healthy(probe.address).await;
                dispatcher.report_probe(probe.stage_key, probe.executor, is_healthy);
            });
        }
    }
}
