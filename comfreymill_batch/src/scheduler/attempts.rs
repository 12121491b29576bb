use comfreymill_types::id;

use super::Scheduler;
use crate::action;
use crate::decision;
use crate::event;
use crate::fleet;
use crate::task;

/// # Attempts
impl Scheduler {
    /// Reserves room on a worker and proposes the next attempt of a waiting task.
    pub(super) fn start(&mut self, id: id::TaskId, index: fleet::WorkerIndex, reason: String) {
        let worker = self.fleet.get(index);
        let name = worker.name.clone();
        let incarnation = worker.incarnation;
        let reserved = self.get_need(&self.tasks[&id]);
        let Some(task) = self.tasks.get_mut(&id) else { return };
        if let task::Phase::Waiting(lane) = task.phase {
            self.queue.remove(lane, task.order, id);
        }
        let number = task.last_attempt.next();
        task.last_attempt = number;
        let attempt_id = id::AttemptId::new(id, number);
        let view =
            event::AttemptView { id: attempt_id, worker: name.clone(), incarnation, reserved };
        let attempt = task::Attempt::new(&view, index, task::CommitState::StartProposed, self.now);
        task.phase = task::Phase::Active(Box::new(attempt));
        let checkpoint = task.checkpoint.clone();
        self.actions.push(action::Action::Start { attempt: view, checkpoint });
        self.release_claim(id);
        self.reserve_room(id);
        let remedy = "the worker fails, leaves or its prompt services are slowed".to_owned();
        self.record(id, decision::Verdict::Place(name), reason, remedy);
    }

    pub(super) fn on_started(&mut self, view: &event::AttemptView) {
        let now = self.now;
        let Some(task) = self.tasks.get_mut(&view.id.task) else { return };
        let cancelled = task.cancelled;
        let Some(attempt) = task.attempt_mut() else { return };
        if attempt.id != view.id
            || !matches!(attempt.commit_state, task::CommitState::StartProposed)
        {
            return;
        }
        attempt.commit_state = task::CommitState::Started;
        attempt.granted_at = now;
        let index = attempt.worker;
        let worker_restarted = self.fleet.get(index).incarnation != view.incarnation;
        if worker_restarted {
            self.end(view.id.task, action::Outcome::Lost { may_have_begun: false }, None);
        } else if cancelled {
            self.stop(view.id.task, action::StopReason::Cancelled, "the task was cancelled");
        } else if self.fleet.get(index).leaving {
            self.stop(view.id.task, action::StopReason::Leaving, "the worker is leaving");
        }
    }

    pub(super) fn on_checkpoint_recorded(
        &mut self,
        attempt_id: id::AttemptId,
        checkpoint: event::Checkpoint,
    ) {
        let now = self.now;
        let Some(task) = self.tasks.get_mut(&attempt_id.task) else { return };
        if task.get_checkpoint_sequence() >= checkpoint.sequence {
            return;
        }
        task.checkpoint = Some(checkpoint);
        let Some(attempt) = task.attempt_mut() else { return };
        if attempt.id != attempt_id {
            return;
        }
        attempt.checkpoint_at = Some(now);
        if attempt.directive == action::Directive::Checkpoint
            && let Some(reason) = attempt.stop_after
        {
            self.stop(attempt_id.task, reason, "its checkpoint is on record");
        }
    }

    /// Proposes the end of an attempt, unless its end is already proposed.
    pub(super) fn end(
        &mut self,
        id: id::TaskId,
        outcome: action::Outcome,
        checkpoint: Option<event::Checkpoint>,
    ) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        let known = task.get_checkpoint_sequence();
        let checkpoint = checkpoint.filter(|checkpoint| checkpoint.sequence > known);
        let park = self.get_unknown_outcome(id, &outcome, checkpoint.is_some());
        let Some(task) = self.tasks.get_mut(&id) else { return };
        let Some(attempt) = task.attempt_mut() else { return };
        if !attempt.is_started() {
            return;
        }
        attempt.commit_state = task::CommitState::EndProposed {
            outcome: outcome.clone(),
            checkpoint: checkpoint.clone(),
            park: park.clone(),
        };
        let attempt = attempt.id;
        self.actions.push(action::Action::End { attempt, outcome, checkpoint, park });
    }

    pub(super) fn on_proposal_lost(&mut self, action: action::Action) {
        match action {
            action::Action::Start { attempt, .. } => self.roll_back_start(attempt.id),
            action::Action::End { attempt, .. } => self.reopen_end(attempt),
            action::Action::RecordCheckpoint { attempt, .. } => self.reopen_checkpoint(attempt),
            action::Action::Park { task, reason } => {
                let pending = self
                    .tasks
                    .get(&task)
                    .is_some_and(|task| matches!(task.phase, task::Phase::Parking(_)));
                if pending {
                    self.park(task, reason);
                }
            }
            action::Action::Unpark { task } => {
                let parked = self.tasks.get(&task).is_some_and(|t| t.park_reason().is_some());
                if parked {
                    self.parked_for_size.insert(task);
                }
            }
            _ => {}
        }
    }

    fn roll_back_start(&mut self, attempt_id: id::AttemptId) {
        let id = attempt_id.task;
        let Some(task) = self.tasks.get(&id) else { return };
        let Some(attempt) = task.attempt() else { return };
        if attempt.id != attempt_id
            || !matches!(attempt.commit_state, task::CommitState::StartProposed)
        {
            return;
        }
        let index = attempt.worker;
        self.release_room(id);
        let Some(task) = self.tasks.get_mut(&id) else { return };
        task.last_attempt = id::AttemptNumber::new(attempt_id.number.get().saturating_sub(1));
        if task.cancelled {
            self.drop_task(id);
        } else {
            self.enqueue(id);
        }
        self.after_release(index);
    }

    fn reopen_end(&mut self, attempt_id: id::AttemptId) {
        let Some(task) = self.tasks.get_mut(&attempt_id.task) else { return };
        let Some(attempt) = task.attempt_mut() else { return };
        if attempt.id != attempt_id {
            return;
        }
        if let task::CommitState::EndProposed { outcome, checkpoint, park } = &attempt.commit_state
        {
            self.actions.push(action::Action::End {
                attempt: attempt_id,
                outcome: outcome.clone(),
                checkpoint: checkpoint.clone(),
                park: park.clone(),
            });
        }
    }

    fn reopen_checkpoint(&mut self, attempt_id: id::AttemptId) {
        let Some(task) = self.tasks.get_mut(&attempt_id.task) else { return };
        let recorded = task.get_checkpoint_sequence();
        let Some(attempt) = task.attempt_mut() else { return };
        if attempt.id == attempt_id {
            attempt.proposed_checkpoint = recorded;
        }
    }
}
