use comfreymill_types::id;

use super::Scheduler;
use crate::action;
use crate::decision;
use crate::event;
use crate::task;

/// Time after the start of a task, in seconds, within which it may have caused a restart of its
/// worker.
const EARLY_CRASH_SECS: u64 = 60;
/// Total failures, as a multiple of the failure limit, at which a task is parked however few
/// workers it failed on.
const FAILURES_PER_WORKER: u32 = 3;

/// # Ends of attempts
impl Scheduler {
    pub(super) fn on_ended(
        &mut self,
        attempt_id: id::AttemptId,
        outcome: action::Outcome,
        checkpoint: Option<event::Checkpoint>,
        park: Option<action::ParkReason>,
    ) {
        let id = attempt_id.task;
        let Some(task) = self.tasks.get_mut(&id) else { return };
        let Some(attempt) = task.attempt() else { return };
        if attempt.id != attempt_id {
            return;
        }
        let attempt = attempt.clone();
        let known = task.get_checkpoint_sequence();
        if let Some(checkpoint) = checkpoint.filter(|checkpoint| checkpoint.sequence > known) {
            task.checkpoint = Some(checkpoint);
        }
        self.release_room(id);
        let worker = self.fleet.get(attempt.worker).name.clone();
        let reason = format!("attempt {attempt_id} on {worker} was {outcome}");
        self.record(id, decision::Verdict::End(outcome.clone()), reason, String::new());
        self.observe_outcome(id, &attempt, &outcome);
        match park.filter(|_| !self.tasks[&id].cancelled) {
            Some(reason) => self.set_parked(id, reason),
            None => self.handle_ended_task(id, &attempt, outcome),
        }
        self.after_release(attempt.worker);
    }

    /// Drops, parks or queues again a task whose attempt ended.
    fn handle_ended_task(
        &mut self,
        id: id::TaskId,
        attempt: &task::Attempt,
        outcome: action::Outcome,
    ) {
        let task = &self.tasks[&id];
        let class = self.catalog.class(task.class);
        let standing = class.is_standing();
        if outcome == action::Outcome::Finished && !standing {
            self.drop_task(id);
            return;
        }
        if task.cancelled {
            self.drop_task(id);
            return;
        }
        match outcome {
            action::Outcome::Failed { reason, .. } => self.retry_failed(id, reason),
            action::Outcome::Lost { .. } => self.retry_lost(id, attempt),
            action::Outcome::Finished => self.requeue_after_pause(id),
            action::Outcome::Stopped { .. } => self.requeue(id),
        }
    }

    /// Returns the reason to park a task that may run at most once and may have taken effect.
    pub(super) fn get_unknown_outcome(
        &self,
        id: id::TaskId,
        outcome: &action::Outcome,
        brings_checkpoint: bool,
    ) -> Option<action::ParkReason> {
        let task = &self.tasks[&id];
        let class = self.catalog.class(task.class);
        let over = *outcome == action::Outcome::Finished && !class.is_standing();
        let has_checkpoint = brings_checkpoint || task.checkpoint.is_some();
        if over || !class.is_unrepeatable() || !may_have_taken_effect(outcome, has_checkpoint) {
            return None;
        }
        let attempt = task.attempt()?;
        let worker = &self.fleet.get(attempt.worker).name;
        let detail = format!("attempt {} on {worker} was {outcome}", attempt.id);
        Some(action::ParkReason::OutcomeUnknown { detail })
    }

    fn requeue(&mut self, id: id::TaskId) {
        if let Some(task) = self.tasks.get_mut(&id) {
            task.waiting_since = self.now;
        }
        self.enqueue(id);
    }

    fn requeue_after_pause(&mut self, id: id::TaskId) {
        if let Some(task) = self.tasks.get_mut(&id) {
            task.waiting_since = self.now;
        }
        self.enqueue_later(id);
    }

    fn retry_failed(&mut self, id: id::TaskId, reason: String) {
        let workers = self.count_failed_workers(id);
        let limit = self.get_failure_limit(id);
        let task = &self.tasks[&id];
        let standing = self.catalog.class(task.class).is_standing();
        let too_often = task.failures >= limit.saturating_mul(FAILURES_PER_WORKER);
        let everywhere =
            task.failed_everywhere && task.failed_on.len() > 1 && task.failures > limit;
        if (workers >= limit || too_often || everywhere) && !standing {
            let workers = task.failed_on.len() as u32;
            self.park(id, action::ParkReason::FailedRepeatedly { workers, last: reason });
            return;
        }
        self.requeue_after_pause(id);
    }

    /// Queues a lost task again. A task whose worker restarted soon after the task began may have
    /// caused the restart: it avoids that worker, and is parked after too many such workers.
    fn retry_lost(&mut self, id: id::TaskId, attempt: &task::Attempt) {
        let started = attempt.running_since.unwrap_or(attempt.granted_at);
        let early = self.now.since(started).as_secs() < EARLY_CRASH_SECS;
        let has_restarted = self.fleet.get(attempt.worker).incarnation != attempt.incarnation;
        let limit = self.get_failure_limit(id);
        let standing = self.catalog.class(self.tasks[&id].class).is_standing();
        let name = self.fleet.get(attempt.worker).name.clone();
        let Some(task) = self.tasks.get_mut(&id) else { return };
        if early && has_restarted && !task.crashed_on.contains(&name) {
            task.avoid(&name);
            task.crashed_on.push(name);
        }
        let workers = task.crashed_on.len() as u32;
        if workers >= limit && !standing {
            let last = "the worker restarted soon after the task began".to_owned();
            self.park(id, action::ParkReason::FailedRepeatedly { workers, last });
            return;
        }
        self.requeue(id);
    }

    fn get_failure_limit(&self, id: id::TaskId) -> u32 {
        let class = self.catalog.class(self.tasks[&id].class);
        class.spec.as_ref().map_or(u32::MAX, |spec| spec.batch.failure_limit)
    }
}

/// Returns whether a second run could repeat an effect of the first.
fn may_have_taken_effect(outcome: &action::Outcome, has_checkpoint: bool) -> bool {
    let progress = match outcome {
        action::Outcome::Finished => return true,
        action::Outcome::Lost { may_have_begun } => return *may_have_begun,
        action::Outcome::Failed { progress, .. } | action::Outcome::Stopped { progress } => {
            progress
        }
    };
    match progress {
        event::Progress::NotBegun => false,
        event::Progress::AtCheckpoint => !has_checkpoint,
        event::Progress::PastCheckpoint => true,
    }
}
