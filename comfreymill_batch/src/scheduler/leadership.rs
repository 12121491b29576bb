use std::collections::{BTreeMap, BTreeSet, HashMap};

use comfreymill_types::document;
use comfreymill_types::time;

use super::Scheduler;
use crate::event;
use crate::fleet;
use crate::queue;
use crate::task;

/// Heartbeat periods that workers have to report to a new leader.
const SETTLING_PERIODS: u32 = 5;

/// # Leadership and documents
impl Scheduler {
    /// Replaces the state by that of the ledger. Every lease counts again from now.
    pub(super) fn on_leader(
        &mut self,
        tasks: Vec<event::TaskView>,
        attempts: &[event::AttemptView],
    ) {
        self.leading_since = self.now;
        self.is_settling_over = false;
        self.fleet = fleet::Fleet::default();
        self.tasks = HashMap::with_capacity(tasks.len());
        self.queue = queue::Queue::default();
        self.delayed = BTreeSet::new();
        self.parked_for_size = BTreeSet::new();
        self.checkpoints_due = BTreeSet::new();
        self.claims = BTreeMap::new();
        self.suspended = BTreeSet::new();
        self.spread = HashMap::new();
        self.actions.clear();
        self.jobs = HashMap::new();
        self.catalog.clear_use();
        for view in tasks {
            self.insert_task(view);
        }
        for view in attempts {
            self.restore_attempt(view);
        }
        self.enqueue_unassigned();
    }

    /// Applies a document, and retries the tasks that wait for a class, a quota or a rule.
    pub(super) fn on_document(
        &mut self,
        stage: document::Stage,
        environment: &document::Environment,
    ) {
        self.catalog.apply(stage, environment);
        self.queue.unblock(|_, _| true);
        self.unpark_fitting();
    }

    /// Retries the waiting tasks once the workers are known, since a task that fits none of them
    /// is parked only then.
    pub(super) fn end_settling(&mut self) {
        if !self.is_settling_over && self.is_settled() {
            self.is_settling_over = true;
            self.queue.unblock(|_, _| true);
        }
    }

    /// Returns whether every running worker had time to report to this leader, and one did.
    pub(super) fn is_settled(&self) -> bool {
        let settling = self.cfg.get_heartbeat_period() * SETTLING_PERIODS;
        self.now.since(self.leading_since) >= settling && !self.fleet.is_empty()
    }

    fn restore_attempt(&mut self, view: &event::AttemptView) {
        let Some(task) = self.tasks.get_mut(&view.id.task) else { return };
        task.last_attempt = task.last_attempt.max(view.id.number);
        let worker = self.fleet.intern(&view.worker, view.incarnation, self.now);
        let known = self.fleet.get_mut(worker);
        known.incarnation = known.incarnation.max(view.incarnation);
        let mut attempt = task::Attempt::new(view, worker, task::CommitState::Started, self.now);
        attempt.offered = true;
        if task.cancelled {
            attempt.directive = crate::action::Directive::Stop;
        }
        task.phase = task::Phase::Active(Box::new(attempt));
        self.reserve_room(view.id.task);
    }

    fn enqueue_unassigned(&mut self) {
        let mut waiting: Vec<_> = self
            .tasks
            .values()
            .filter(|task| matches!(task.phase, task::Phase::Delayed(_)))
            .map(|task| task.id)
            .collect();
        waiting.sort_unstable();
        for id in waiting {
            self.enqueue(id);
        }
    }

    /// Returns the time by which the lease of an attempt has certainly expired at the worker.
    pub(super) fn get_lease_end(
        &self,
        attempt: &task::Attempt,
        worker: &fleet::Worker,
    ) -> time::Monotonic {
        attempt.granted_at.max(worker.last_heartbeat_at) + self.cfg.get_lease_bound()
    }
}
