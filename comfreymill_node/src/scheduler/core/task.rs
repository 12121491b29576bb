use std::task;

use super::core::Core;
use super::input::Input;
use super::load::Part;
use super::process_state::ProcessState;

/// Reason why the core has ended.
#[derive(Debug)]
pub(in crate::scheduler) enum Ended {
    /// The group has removed the replica, which may rejoin with an empty data folder and what the
    /// process keeps.
    Removed(Box<ProcessState>),
    /// A fatal error, after which the process must end.
    Failed(String),
}

/// Runs the core until it ends.
pub(in crate::scheduler) async fn run(mut core: Core, inputs: &flume::Receiver<Input>) -> Ended {
    let clock = core.cfg.clock;
    let mut backlog = std::mem::take(&mut core.process.backlog);
    let mut ticked_at = clock.now();
    let mut ended_at = ticked_at;
    loop {
        if backlog.is_empty() {
            let wait = core.placement_wait(clock.now()).min(Core::TICK);
            match monoio::time::timeout(wait, inputs.recv_async()).await {
                Ok(Ok(input)) => backlog.push(input.kind(), clock.now(), input),
                Ok(Err(_)) => {
                    return Ended::Failed("the input channel of the core is closed".to_owned());
                }
                Err(_) => {}
            }
        } else {
            yield_to_connections().await;
        }
        let began = clock.now();
        let gap = began.since(ended_at);
        for input in inputs.try_iter() {
            backlog.push(input.kind(), began, input);
        }
        core.refuse_new_jobs(clock.now(), &mut backlog);
        backlog.begin_turn();
        while let Some(queued) = backlog.next_input() {
            let now = clock.now();
            core.load.input_taken(queued.kind, now.since(queued.queued_at));
            core.handle(now, queued.input);
            core.load.spent(Part::Inputs(queued.kind), now, clock.now());
        }
        let now = clock.now();
        // The time-out above never expires while inputs wait, so ticks are checked here.
        if now.since(ticked_at) >= Core::TICK {
            core.tick(now);
            ticked_at = now;
            core.load.spent(Part::Timers, now, clock.now());
        }
        core.run_actions();
        ended_at = clock.now();
        core.load.turn_ended(began, ended_at, gap);
        // What arrives during a turn waits for its end, so long turns count as well.
        core.update_overload(ended_at, backlog.longest_wait(ended_at) + ended_at.since(began));
        let is_leading = core.leadership.is_some();
        core.load.report(ended_at, is_leading, &backlog);
        if core.was_removed() {
            core.process.backlog = backlog;
            return Ended::Removed(Box::new(core.retire()));
        }
        if let Some(failure) = core.get_failure() {
            return Ended::Failed(failure.to_owned());
        }
    }
}

/// Lets the tasks of the connections run that are ready, and lets the runtime look for new data.
async fn yield_to_connections() {
    let mut has_yielded = false;
    std::future::poll_fn(move |cx| {
        if std::mem::replace(&mut has_yielded, true) {
            return task::Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        task::Poll::Pending
    })
    .await;
}
