use comfreymill_types::id;
use comfreymill_types::size;

use super::Scheduler;
use crate::action;
use crate::decision;
use crate::task;

/// Counts of tasks and workers for operators.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Serialize)]
pub struct Status {
    /// Number of queued tasks.
    pub waiting: usize,
    /// Number of tasks with an attempt.
    pub active: usize,
    /// Number of parked tasks.
    pub parked: usize,
    /// Number of workers that reported to this leader.
    pub workers: usize,
    /// Number of workers that are quarantined or being probed.
    pub quarantined: usize,
}

/// # Views for operators
impl Scheduler {
    /// Returns the counts of tasks and workers.
    pub fn get_status(&self) -> Status {
        let active = self.tasks.values().filter(|task| task.attempt().is_some()).count();
        let parked = self.tasks.values().filter(|task| task.park_reason().is_some()).count();
        Status {
            waiting: self.queue.len(),
            active,
            parked,
            workers: self.fleet.iter().filter(|(_, worker)| worker.has_reported).count(),
            quarantined: self.suspended.len(),
        }
    }

    /// Returns the decisions about a task, oldest first. If the task waits, the last record says
    /// why.
    pub fn explain(&self, id: id::TaskId) -> Vec<decision::Record> {
        let mut records: Vec<decision::Record> = self.history.of(id).cloned().collect();
        if let Some(now) = self.explain_wait(id) {
            records.push(now);
        }
        records
    }

    /// Returns why a task is parked, if it is.
    pub fn get_park_reason(&self, id: id::TaskId) -> Option<&action::ParkReason> {
        self.tasks.get(&id)?.park_reason()
    }

    /// Returns the workers that are quarantined or being probed.
    pub fn get_quarantined(&self) -> Vec<id::WorkerName> {
        self.suspended.iter().map(|index| self.fleet.get(*index).name.clone()).collect()
    }

    /// Returns the resources reserved for executors and attempts on a worker that reported.
    pub fn get_reserved(&self, worker: &id::WorkerName) -> Option<size::Resources> {
        let worker = self.fleet.get(self.fleet.find(worker)?);
        worker.has_reported.then(|| worker.executors + worker.reserved)
    }

    fn explain_wait(&self, id: id::TaskId) -> Option<decision::Record> {
        let task = self.tasks.get(&id)?;
        let (reason, remedy) = match task.phase {
            task::Phase::Waiting(lane) => {
                let lane = self.queue.lane(lane);
                let ahead = lane.tasks.range(..(task.order, id)).count();
                let block = lane.block?;
                (format!("{block}, and {ahead} tasks like it go first"), block.get_remedy())
            }
            task::Phase::Delayed(due) => (format!("it is tried again at {due}"), "the time passes"),
            _ => return None,
        };
        let verdict = decision::Verdict::Wait;
        let remedy = remedy.to_owned();
        Some(decision::Record { at: self.now, task: id, verdict, reason, remedy })
    }
}
