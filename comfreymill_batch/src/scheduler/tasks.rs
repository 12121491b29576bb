use comfreymill_types::id;
use comfreymill_types::size;

use super::Scheduler;
use crate::action;
use crate::decision;
use crate::event;
use crate::queue;
use crate::task;

/// # Tasks
impl Scheduler {
    pub(super) fn on_task_added(&mut self, view: event::TaskView) {
        let id = view.id;
        if let Some(known) = self.tasks.get(&id) {
            if known.park_reason().is_none() || view.parked.is_some() {
                return;
            }
            self.parked_for_size.remove(&id);
        }
        self.insert_task(view);
        if matches!(self.tasks[&id].phase, task::Phase::Delayed(_)) {
            self.enqueue(id);
        }
    }

    pub(super) fn on_cancelled(&mut self, id: id::TaskId) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        if task.cancelled {
            return;
        }
        task.cancelled = true;
        if task.attempt().is_some() {
            self.stop(id, action::StopReason::Cancelled, "the task was cancelled");
        } else {
            self.drop_task(id);
        }
    }

    /// Adds a task of the ledger, not queued yet.
    pub(super) fn insert_task(&mut self, view: event::TaskView) {
        let id = view.id;
        let team = self.catalog.intern_team(view.stage, &view.team);
        let class = self.catalog.intern_class(view.stage, &view.class);
        let task = task::Task::new(view, team, class, self.now);
        if task.park_reason().is_some_and(action::ParkReason::unparks_automatically) {
            self.parked_for_size.insert(id);
        }
        let is_new = self.tasks.insert(id, task).is_none();
        self.jobs.entry(id.job).or_default().tasks += u32::from(is_new);
    }

    /// Adds a task to its lane.
    pub(super) fn enqueue(&mut self, id: id::TaskId) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        let key = queue::LaneKey {
            team: task.team,
            class: task.class,
            declared: task.declared,
            exclusive_task: task.avoids_workers().then_some(id),
        };
        let lane = self.queue.push(key, task.order, id, task.waiting_since);
        task.phase = task::Phase::Waiting(lane);
    }

    /// Adds a task to its lane after a wait that doubles with each retry.
    pub(super) fn enqueue_later(&mut self, id: id::TaskId) {
        const FIRST_WAIT_MILLIS: u64 = 1_000;
        const MAX_DOUBLINGS: u32 = 6;
        let Some(task) = self.tasks.get_mut(&id) else { return };
        let wait = FIRST_WAIT_MILLIS << task.retries.min(MAX_DOUBLINGS);
        let due = self.now + std::time::Duration::from_millis(wait);
        task.retries = task.retries.saturating_add(1);
        task.phase = task::Phase::Delayed(due);
        self.delayed.insert((due, id));
    }

    /// Adds the delayed tasks whose wait is over to their lanes.
    pub(super) fn enqueue_due(&mut self) {
        while let Some((due, id)) = self.delayed.first().copied() {
            if due > self.now {
                return;
            }
            self.delayed.pop_first();
            self.enqueue(id);
        }
    }

    /// Removes a task that is over and has no attempt.
    pub(super) fn drop_task(&mut self, id: id::TaskId) {
        let Some(task) = self.tasks.remove(&id) else { return };
        match task.phase {
            task::Phase::Waiting(lane) => self.queue.remove(lane, task.order, id),
            task::Phase::Delayed(due) => {
                self.delayed.remove(&(due, id));
            }
            task::Phase::Parked(_) | task::Phase::Parking(_) => {
                self.parked_for_size.remove(&id);
            }
            task::Phase::Active(_) => {}
        }
        self.release_claim(id);
        self.history.retire(id);
        self.remove_from_job(id.job);
    }

    fn remove_from_job(&mut self, id: id::JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.tasks -= 1;
        if job.tasks == 0 {
            self.jobs.remove(&id);
        }
    }

    /// Returns the declared size of the task, or that of its class.
    pub(super) fn get_declared(&self, task: &task::Task) -> size::Resources {
        let spec = self.catalog.class(task.class).spec.as_ref();
        task.declared.or(spec.map(|spec| spec.batch.size)).unwrap_or(size::Resources::ZERO)
    }

    /// Records why the task waits.
    pub(super) fn record_wait(&mut self, id: id::TaskId, block: queue::BlockReason) {
        let remedy = block.get_remedy().to_owned();
        self.record(id, decision::Verdict::Wait, block.to_string(), remedy);
    }
}
