use comfreymill_types::id;

use super::Scheduler;
use crate::action;
use crate::decision;
use crate::event;
use crate::task;

/// # Stops
impl Scheduler {
    /// Stops an attempt without waiting for a checkpoint.
    pub(super) fn stop(&mut self, id: id::TaskId, reason: action::StopReason, why: &str) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        let Some(attempt) = task.attempt_mut() else { return };
        if !attempt.is_started() || attempt.directive == action::Directive::Stop {
            return;
        }
        let attempt_id = attempt.id;
        let due = attempt.checkpoint_due;
        attempt.directive = action::Directive::Stop;
        attempt.stop_after = None;
        let index = attempt.worker;
        let offered = attempt.offered;
        self.checkpoints_due.remove(&(due, id));
        self.actions.push(action::Action::Stop { attempt: attempt_id, reason });
        self.record(id, decision::Verdict::Stop(reason), why.to_owned(), String::new());
        self.refresh_mix(index);
        if !offered {
            let progress = event::Progress::NotBegun;
            self.end(id, action::Outcome::Stopped { progress }, None);
        }
    }

    /// Stops an attempt once its checkpoint is recorded or has taken too long.
    pub(super) fn checkpoint_and_stop(
        &mut self,
        id: id::TaskId,
        reason: action::StopReason,
        why: &str,
    ) {
        let limit = self.now + self.cfg.get_checkpoint_limit();
        let Some(task) = self.tasks.get_mut(&id) else { return };
        let Some(attempt) = task.attempt_mut() else { return };
        if !attempt.is_started() || attempt.is_leaving() {
            return;
        }
        if attempt.running_since.is_none() && !attempt.offered {
            self.stop(id, reason, why);
            return;
        }
        attempt.directive = action::Directive::Checkpoint;
        attempt.stop_after = Some(reason);
        attempt.checkpoint_due = limit;
        let attempt_id = attempt.id;
        let index = attempt.worker;
        self.checkpoints_due.insert((limit, id));
        self.actions.push(action::Action::TakeCheckpoint { attempt: attempt_id });
        self.record(id, decision::Verdict::Checkpoint, why.to_owned(), String::new());
        self.refresh_mix(index);
    }

    /// Stops the attempts whose checkpoint has taken too long. A task that may run at most once
    /// continues instead.
    pub(super) fn expire_checkpoints(&mut self) {
        while let Some((due, id)) = self.checkpoints_due.first().copied() {
            if due > self.now {
                return;
            }
            self.checkpoints_due.pop_first();
            let Some(task) = self.tasks.get_mut(&id) else { continue };
            let at_most_once = self.catalog.class(task.class).is_unrepeatable();
            let Some(attempt) = task.attempt_mut() else { continue };
            let Some(reason) = attempt.stop_after else { continue };
            if at_most_once {
                attempt.stop_after = None;
                attempt.directive = action::Directive::Run;
                let index = attempt.worker;
                self.refresh_mix(index);
            } else {
                self.stop(id, reason, "it took no checkpoint in time");
            }
        }
    }

    /// Marks a worker as leaving and stops its tasks, so that they move to other workers.
    pub(super) fn on_leaving(&mut self, name: &id::WorkerName) {
        let Some(index) = self.fleet.find(name) else { return };
        if self.fleet.get(index).leaving {
            return;
        }
        self.fleet.get_mut(index).leaving = true;
        self.reindex(index);
        let tasks: Vec<id::TaskId> = self.fleet.get(index).tasks.iter().copied().collect();
        for id in tasks {
            self.checkpoint_and_stop(id, action::StopReason::Leaving, "the worker is leaving");
        }
    }

    /// Sets the speed of an attempt.
    pub(super) fn throttle(&mut self, id: id::TaskId, percent: action::Percent, why: &str) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        let Some(attempt) = task.attempt_mut() else { return };
        attempt.directive = if percent == action::Percent::FULL {
            action::Directive::Run
        } else {
            action::Directive::Throttle(percent)
        };
        let attempt_id = attempt.id;
        let index = attempt.worker;
        self.actions.push(action::Action::Throttle { attempt: attempt_id, percent });
        let remedy = "the prompt services of the worker get faster or slower".to_owned();
        self.record(id, decision::Verdict::Throttle(percent), why.to_owned(), remedy);
        self.refresh_mix(index);
    }

    /// Returns whether the policy may evict the task: its attempt is started and not leaving, and
    /// it may run more than once.
    pub(super) fn is_evictable(&self, task: &task::Task) -> bool {
        let started =
            task.attempt().is_some_and(|attempt| attempt.is_started() && !attempt.is_leaving());
        started && !self.catalog.class(task.class).is_unrepeatable()
    }
}
