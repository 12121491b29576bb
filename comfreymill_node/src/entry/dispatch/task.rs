use std::rc::Rc;
use std::time::Duration;

use super::handle::Dispatcher;
use super::state::{DispatchConfig, State};
use crate::clock;
use crate::entry::pool;
use crate::entry::probe;

const TICK: Duration = Duration::from_millis(10);

/// Starts the dispatcher's task.
pub fn start(cfg: DispatchConfig, clock: clock::Clock, pool: Rc<pool::Pool>) -> Dispatcher {
    let (tx, rx) = flume::unbounded();
    let dispatcher = Dispatcher { tx };
    let state = State::new(cfg);
    monoio::spawn(run(state, rx, clock, dispatcher.clone(), pool));
    dispatcher
}

async fn run(
    mut state: State,
    rx: flume::Receiver<super::input::Input>,
    clock: clock::Clock,
    dispatcher: Dispatcher,
    pool: Rc<pool::Pool>,
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
        // A busy queue must not put the tick off.
        if now.since(ticked_at) >= TICK {
            state.tick(now);
            pool.drop_old();
            ticked_at = now;
        }
        for address in state.chores.drops.drain(..) {
            pool.drop_all(address);
        }
        for probe in state.chores.probes.drain(..) {
            let dispatcher = dispatcher.clone();
            monoio::spawn(async move {
                let is_healthy = probe::is_healthy(probe.address).await;
                dispatcher.probed(probe.desk, probe.executor, is_healthy);
            });
        }
    }
}
