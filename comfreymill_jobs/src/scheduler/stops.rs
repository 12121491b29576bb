use std::time::Duration;

use comfreymill_types::time;

use super::run::RunPhase;
use super::{Order, Scheduler};
use crate::id;

/// Minimum time between two stop orders for a run.
const STOP_RETRY: Duration = Duration::from_millis(400);
/// Time after which a stop order without an answer is sent again. Every order gets an answer or its
/// timeout, but may wait for earlier ones; sent again, it would make their queue longer.
const STOP_ANSWER_LIMIT: Duration = Duration::from_secs(2);
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
        self.send_stop(now, worker, task);
    }

    /// Stops a run of which it is not known whether an earlier stop order has reached the worker.
    pub(super) fn stop_again(
        &mut self,
        now: time::Monotonic,
        worker: id::WorkerNumber,
        task: id::TaskId,
    ) {
        if let Some(entry) = self.workers.get_mut(&worker) {
            entry.begin_stop(now, task);
            if let Some(run) = entry.runs.get_mut(&task) {
                run.is_start_uncertain = true;
            }
        }
        self.send_stop(now, worker, task);
    }

    /// Sends a stop order for a run that is being stopped.
    fn send_stop(&mut self, now: time::Monotonic, worker: id::WorkerNumber, task: id::TaskId) {
        let Some(entry) = self.workers.get_mut(&worker) else { return };
        let Some(run) = entry.runs.get_mut(&task) else { return };
        let retry_at = now + STOP_ANSWER_LIMIT;
        run.phase = RunPhase::Stopping { sent_at: now, retry_at };
        self.orders.push(Order::Stop { worker, task, run: run.run });
        self.stops.insert((retry_at, worker, task));
    }

    /// Handles the answer to a stop order; one that was not accepted is sent again.
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
        let RunPhase::Stopping { sent_at, retry_at } = run.phase else { return };
        self.stops.remove(&(retry_at, worker, task));
        if is_accepted {
            run.phase = RunPhase::StopAccepted { at: now };
            entry.next_poll_at = now;
        } else {
            let retry_at = now.max(sent_at + STOP_RETRY).min(retry_at);
            run.phase = RunPhase::Stopping { sent_at, retry_at };
            self.stops.insert((retry_at, worker, task));
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
        self.send_stop(now, worker, task);
    }

    /// Sends the stop orders again that were not accepted, or not answered in time.
    pub(super) fn retry_stops(&mut self, now: time::Monotonic) {
        if self.is_fenced {
            return;
        }
        for _ in 0..MAX_STOP_RETRIES {
            let Some(&(at, number, task)) = self.stops.first().filter(|(at, ..)| *at <= now) else {
                return;
            };
            self.stops.pop_first();
            self.steps += 1;
            let Some(worker) = self.workers.get_mut(&number) else { continue };
            let Some(run) = worker.runs.get_mut(&task) else { continue };
            let RunPhase::Stopping { sent_at, retry_at } = run.phase else { continue };
            if retry_at != at {
                continue;
            }
            log::info!(target: "runs", task:% = task, run:% = run.run, worker:% = worker.replicated.announced.name, since_sent_ms = now.since(sent_at).as_millis() as u64; "a stop is sent again");
            self.send_stop(now, number, task);
        }
    }
}
