use std::time::Duration;

use comfreymill_batch::action;
use comfreymill_batch::decision;
use comfreymill_batch::event;
use comfreymill_batch::scheduler;
use comfreymill_ledger::job;
use comfreymill_ledger::ledger;
use comfreymill_types::error;
use comfreymill_types::id;
use comfreymill_types::time;

use super::Leader;
use crate::protocol;

/// # Tasks and workers
impl Leader {
    /// Handles a heartbeat of a worker and returns the attempts that the worker must run.
    ///
    /// # Errors
    ///
    /// `conflict` if a newer report of the worker was handled before.
    pub(in crate::control) fn worker_heartbeat(
        &mut self,
        now: time::Monotonic,
        ledger: &ledger::Ledger,
        heartbeat: protocol::WorkerHeartbeat,
        next_in: Duration,
    ) -> Result<protocol::WorkerDirectives, error::Error> {
        let worker = heartbeat.report.worker.clone();
        let sequence = heartbeat.report.sequence;
        let incarnation = heartbeat.report.incarnation;
        self.scheduler_event(now, event::Event::WorkerHeartbeat(Box::new(heartbeat.report)));
        for report in heartbeat.latencies {
            self.scheduler_event(now, event::Event::ExecutorLatency(report));
        }
        let assignments = self.scheduler.desired(&worker, incarnation, sequence);
        let assignments = assignments.ok_or_else(|| {
            let message = format!("a newer report of {worker} was handled before");
            error::Error::new(error::ErrorKind::Conflict, message).field("sequence")
        })?;
        let attempts = assignments.into_iter().map(|assignment| to_directive(ledger, assignment));
        Ok(protocol::WorkerDirectives {
            sequence,
            lease: self.scheduler.get_lease().into(),
            next_in: next_in.into(),
            attempts: attempts.collect(),
        })
    }

    /// Adds the tasks of an accepted job to the scheduler.
    pub(in crate::control) fn job_added(
        &mut self,
        now: time::Monotonic,
        ledger: &ledger::Ledger,
        id: id::JobId,
    ) {
        let Some(job) = ledger.get_jobs().get(&id) else { return };
        for (task, view) in task_views(id, job) {
            debug_assert_eq!(task, view.id, "views are in the order of the tasks");
            self.scheduler_event(now, event::Event::TaskAdded(Box::new(view)));
        }
    }

    /// Cancels the tasks of a job in the scheduler.
    pub(in crate::control) fn job_cancelled(
        &mut self,
        now: time::Monotonic,
        ledger: &ledger::Ledger,
        id: id::JobId,
    ) {
        let Some(job) = ledger.get_jobs().get(&id) else { return };
        for index in 0..job.spec.tasks {
            let task = id::TaskId::new(id, index);
            self.scheduler_event(now, event::Event::TaskCancelled(task));
        }
    }

    /// Adds a task that an operator released to the scheduler.
    pub(in crate::control) fn task_released(
        &mut self,
        now: time::Monotonic,
        ledger: &ledger::Ledger,
        id: id::TaskId,
    ) {
        let Some(job) = ledger.get_jobs().get(&id.job) else { return };
        if let Some(task) = job.tasks.get(id.index as usize) {
            let view = task_view(id, job, task);
            self.scheduler_event(now, event::Event::TaskAdded(Box::new(view)));
        }
    }

    /// Checks that the tasks of a job could run.
    ///
    /// # Errors
    ///
    /// The errors of [`scheduler::Scheduler::check_submission`].
    pub(in crate::control) fn check_submission(
        &self,
        spec: &job::JobSpec,
    ) -> Result<(), error::Error> {
        self.scheduler.check_submission(spec.stage, &spec.team, &spec.class, spec.size)
    }

    /// Returns the recorded decisions about a task, oldest first.
    pub(in crate::control) fn explain(&self, task: id::TaskId) -> Vec<decision::Record> {
        self.scheduler.explain(task)
    }

    /// Returns the counts of tasks and workers.
    pub(in crate::control) fn get_batch_status(&self) -> scheduler::Status {
        self.scheduler.get_status()
    }

    /// Returns the quarantined workers.
    pub(in crate::control) fn get_quarantined(&self) -> Vec<id::WorkerName> {
        self.scheduler.get_quarantined()
    }

    pub(super) fn scheduler_event(&mut self, now: time::Monotonic, event: event::Event) {
        self.scheduler.handle(now, event);
        self.actions.extend(self.scheduler.take_actions());
    }

    pub(super) fn recover_tasks(&mut self, now: time::Monotonic, ledger: &ledger::Ledger) {
        let mut tasks = Vec::new();
        let mut attempts = Vec::new();
        for (id, job) in ledger.get_jobs() {
            for (task, view) in task_views(*id, job) {
                attempts.extend(attempt_view(task, &job.tasks[task.index as usize]));
                tasks.push(view);
            }
        }
        self.scheduler_event(now, event::Event::BecameLeader { tasks, attempts });
    }
}

/// Returns the scheduler's views of the tasks that are neither finished nor cancelled.
fn task_views(id: id::JobId, job: &job::Job) -> Vec<(id::TaskId, event::TaskView)> {
    let numbered = (0..).zip(&job.tasks);
    let is_over = |task: &job::Task| {
        matches!(task.state, job::TaskState::Finished | job::TaskState::Cancelled)
    };
    let unfinished = numbered.filter(|(_, task)| !is_over(task));
    let view = |(index, task)| {
        let task_id = id::TaskId::new(id, index);
        (task_id, task_view(task_id, job, task))
    };
    unfinished.map(view).collect()
}

fn task_view(id: id::TaskId, job: &job::Job, task: &job::Task) -> event::TaskView {
    let spec = &job.spec;
    let mut view = event::TaskView::new(id, spec.stage, spec.team.clone(), spec.class.clone());
    view.size = spec.size;
    view.checkpoint = task.checkpoint.as_ref().map(|checkpoint| event::Checkpoint {
        sequence: checkpoint.sequence,
        data: checkpoint.data.clone(),
    });
    view.last_attempt = task.last_attempt;
    view.failed_on.clone_from(&task.failed_on);
    view.cancelled = job.cancelled;
    view.parked = park_reason(task);
    view
}

/// Returns the recorded reason for parking a task, or [`action::ParkReason::OutcomeUnknown`] if the
/// record cannot be parsed.
pub(super) fn park_reason(task: &job::Task) -> Option<action::ParkReason> {
    let job::TaskState::Parked(parking) = &task.state else { return None };
    let recorded = serde_json::from_str(&parking.cause).ok();
    let unknown = || action::ParkReason::OutcomeUnknown { detail: parking.reason.clone() };
    Some(recorded.unwrap_or_else(unknown))
}

fn attempt_view(id: id::TaskId, task: &job::Task) -> Option<event::AttemptView> {
    let job::TaskState::Running { worker, incarnation, reserved } = &task.state else {
        return None;
    };
    Some(event::AttemptView {
        id: id::AttemptId::new(id, task.last_attempt),
        worker: worker.clone(),
        incarnation: *incarnation,
        reserved: *reserved,
    })
}

fn to_directive(
    ledger: &ledger::Ledger,
    assignment: action::Assignment,
) -> protocol::AttemptDirective {
    let job = ledger.get_jobs().get(&assignment.attempt.task.job);
    let payload = job.map(|job| job.spec.payload.clone()).unwrap_or_default();
    protocol::AttemptDirective { assignment, payload }
}
