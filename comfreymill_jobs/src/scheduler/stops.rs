use std::time::Duration;

use comfreymill_types::time;

use super::run::RunPhase;
use super::{Order, Scheduler};
use crate::id;

/// Time after which an unanswered stop order is sent again.
const STOP_RETRY: Duration = Duration::from_millis(400);
/// Time after its acceptance from which a stop is taken to have had no effect if the run is still
/// reported; workers take less to stop a run.
const STOP_GRACE: Duration = Duration::from_secs(1);
/// Maximum number of stop orders that are checked in one tick.
const MAX_STOP_RETRIES: usize = 256;

/// # Stops of runs
impl Scheduler {
    /// Orders a worker to stop a run, which keeps its reserved resources until its end is known.
    pub(super) fn stop(
        &mut self,
        now: time::Monotonic,
        worker: id::WorkerNumber,
        task: id::TaskId,
    ) {
        let Some(entry) = self.workers.get_mut(&worker) else { return };
        let Some(run) = entry.begin_stop(now, task) else { return };
        log::info!(target: "runs", task:% = task, run:% = run, worker:% = entry.replicated.announced.name; "a run is stopped");
        self.orders.push(Order::Stop { worker, task, run });
        self.stops.push_back((now, worker, task));
    }

    pub(super) fn stop_answered(
        &mut self,
        now: time::Monotonic,
        worker: id::WorkerNumber,
        task: id::TaskId,
        number: id::Run,
        is_accepted: bool,
    ) {
        let Some(entry) = self.workers.get_mut(&worker) else { return };
        let Some(run) = entry.runs.get_mut(&task).filter(|run| run.run == number) else { return };
        if is_accepted && matches!(run.phase, RunPhase::Stopping { .. }) {
            run.phase = RunPhase::StopAccepted { at: now };
            entry.next_poll_at = now;
        }
    }

    /// Stops a run again that a report requested at `asked_at` still shows, if its worker accepted
    /// the stop long before.
    pub(super) fn check_stopped(
        &mut self,
        now: time::Monotonic,
        worker: id::WorkerNumber,
        task: id::TaskId,
        asked_at: time::Monotonic,
    ) {
        let Some(entry) = self.workers.get_mut(&worker) else { return };
        let Some(run) = entry.runs.get_mut(&task) else { return };
        let RunPhase::StopAccepted { at } = run.phase else { return };
        let age = now.since(at);
        if asked_at < at || age < STOP_GRACE {
            return;
        }
        log::warn!(target: "runs", task:% = task, run:% = run.run, worker:% = entry.replicated.announced.name, since_accepted_ms = age.as_millis() as u64; "a run is reported although its stop was accepted: it is stopped again");
        run.phase = RunPhase::Stopping { sent_at: now };
        self.orders.push(Order::Stop { worker, task, run: run.run });
        self.stops.push_back((now, worker, task));
    }

    /// Sends the stop orders again that were not accepted in time.
    pub(super) fn retry_stops(&mut self, now: time::Monotonic) {
        for _ in 0..MAX_STOP_RETRIES {
            let Some((at, number, task)) = self.stops.pop_front() else { return };
            if now.since(at) < STOP_RETRY {
                self.stops.push_front((at, number, task));
                return;
            }
            self.steps += 1;
            let Some(worker) = self.workers.get_mut(&number) else { continue };
            let is_unresponsive = worker.is_unresponsive;
            let Some(run) = worker.runs.get_mut(&task) else { continue };
            if let RunPhase::Stopping { sent_at } = &mut run.phase
                && *sent_at == at
            {
                *sent_at = now;
                self.stops.push_back((now, number, task));
                if !is_unresponsive {
                    self.orders.push(Order::Stop { worker: number, task, run: run.run });
                }
            }
        }
    }
}
