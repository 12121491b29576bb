use comfreymill_types::error::ErrorKind;
use comfreymill_types::id;
use comfreymill_types::size;

use super::Ledger;
use crate::command::Reply;
use crate::job;

const UNKNOWN_OUTCOME: &str = "it may run at most once and its last attempt's outcome is unknown: \
    find out whether it took effect, then cancel the job or release the task";

impl Ledger {
    pub(super) fn start_attempt(
        &mut self,
        attempt: id::AttemptId,
        worker: id::WorkerName,
        incarnation: id::Incarnation,
        reserved: size::Resources,
    ) -> Reply {
        let Some(task) = self.task_mut(attempt.task) else { return task_not_found(attempt.task) };
        let is_next = attempt.number == task.last_attempt.next();
        if task.state != job::TaskState::Waiting || !is_next {
            let message = format!("{attempt} cannot start: the task is not waiting for it");
            return Reply::refused(ErrorKind::Conflict, message);
        }
        task.last_attempt = attempt.number;
        task.state = job::TaskState::Running { worker, incarnation, reserved };
        Reply::Done
    }

    pub(super) fn record_checkpoint(
        &mut self,
        attempt: id::AttemptId,
        checkpoint: job::Checkpoint,
    ) -> Reply {
        let Some(task) = self.task_mut(attempt.task) else { return task_not_found(attempt.task) };
        if !task.is_running(attempt.number) {
            return stale_attempt(attempt);
        }
        store_if_newer(task, checkpoint);
        Reply::Done
    }

    pub(super) fn end_attempt(
        &mut self,
        attempt: id::AttemptId,
        outcome: &job::AttemptOutcome,
        checkpoint: Option<job::Checkpoint>,
        parking: Option<job::Parking>,
    ) -> Reply {
        let Some(job) = self.jobs.get_mut(&attempt.task.job) else {
            return task_not_found(attempt.task);
        };
        let (cancelled, unrepeatable) = (job.cancelled, job.unrepeatable);
        let index = attempt.task.index as usize;
        let Some(task) = job.tasks.get_mut(index) else { return task_not_found(attempt.task) };
        let job::TaskState::Running { worker, .. } = &task.state else {
            return stale_attempt(attempt);
        };
        if task.last_attempt != attempt.number {
            return stale_attempt(attempt);
        }
        if matches!(outcome, job::AttemptOutcome::Failed { .. }) && !task.failed_on.contains(worker)
        {
            task.failed_on.push(worker.clone());
        }
        if let Some(checkpoint) = checkpoint {
            store_if_newer(task, checkpoint);
        }
        task.state = next_state(task, outcome, cancelled, unrepeatable, parking);
        self.record_if_ended(attempt.task.job);
        Reply::Done
    }

    pub(super) fn park_task(&mut self, id: id::TaskId, parking: job::Parking) -> Reply {
        let Some(task) = self.task_mut(id) else { return task_not_found(id) };
        let is_pending = matches!(task.state, job::TaskState::Waiting | job::TaskState::Parked(_));
        if !is_pending {
            let message = format!("{id} cannot be parked: it is not waiting");
            return Reply::refused(ErrorKind::Conflict, message);
        }
        task.state = job::TaskState::Parked(parking);
        Reply::Done
    }

    pub(super) fn release_task(&mut self, id: id::TaskId) -> Reply {
        let Some(task) = self.task_mut(id) else { return task_not_found(id) };
        if !matches!(task.state, job::TaskState::Parked(_)) {
            return Reply::refused(ErrorKind::Conflict, format!("{id} is not parked"));
        }
        task.state = job::TaskState::Waiting;
        task.failed_on.clear();
        Reply::Done
    }

    fn task_mut(&mut self, id: id::TaskId) -> Option<&mut job::Task> {
        let index = usize::try_from(id.index).ok()?;
        self.jobs.get_mut(&id.job)?.tasks.get_mut(index)
    }
}

fn store_if_newer(task: &mut job::Task, checkpoint: job::Checkpoint) {
    let recorded = task.checkpoint.as_ref().map_or(0, |recorded| recorded.sequence);
    if checkpoint.sequence > recorded {
        task.checkpoint = Some(checkpoint);
    }
}

/// Returns the state of a task after its attempt ended with `outcome`.
fn next_state(
    task: &job::Task,
    outcome: &job::AttemptOutcome,
    cancelled: bool,
    unrepeatable: bool,
    parking: Option<job::Parking>,
) -> job::TaskState {
    let Some(progress) = outcome.get_progress() else { return job::TaskState::Finished };
    if cancelled {
        return job::TaskState::Cancelled;
    }
    if let Some(parking) = parking {
        return job::TaskState::Parked(parking);
    }
    let no_work_repeated = match progress {
        job::Progress::NotBegun => true,
        job::Progress::AtCheckpoint => task.checkpoint.is_some(),
        job::Progress::PastCheckpoint => false,
    };
    if no_work_repeated || !unrepeatable {
        return job::TaskState::Waiting;
    }
    let (reason, cause) = (UNKNOWN_OUTCOME.to_owned(), String::new());
    job::TaskState::Parked(job::Parking { reason, cause })
}

fn task_not_found(id: id::TaskId) -> Reply {
    Reply::refused(ErrorKind::NotFound, format!("there is no task {id}"))
}

fn stale_attempt(attempt: id::AttemptId) -> Reply {
    Reply::refused(ErrorKind::Conflict, format!("{attempt} is not the running attempt"))
}
