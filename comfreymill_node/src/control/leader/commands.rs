use comfreymill_batch::action;
use comfreymill_batch::event;
use comfreymill_ledger::command;
use comfreymill_ledger::job;
use comfreymill_ledger::ledger;
use comfreymill_types::time;

use super::Leader;
use super::batch_metrics;
use super::tasks;

/// # Commands for the scheduler's actions
impl Leader {
    /// Returns the next action to propose with its command; actions that need no command are
    /// skipped.
    pub(in crate::control) fn next_command(
        &mut self,
        now: time::Monotonic,
        ledger: &ledger::Ledger,
    ) -> Option<(command::Command, action::Action)> {
        while let Some(action) = self.actions.pop_front() {
            batch_metrics::observe_action(&action, ledger, self.group_time(now));
            match to_command(&action) {
                Some(command) => return Some((command, action)),
                None => log::debug!(target: "batch", "Action without a command: {action:?}."),
            }
        }
        None
    }

    /// Notifies the scheduler that an action was committed.
    pub(in crate::control) fn action_committed(
        &mut self,
        now: time::Monotonic,
        ledger: &ledger::Ledger,
        action: action::Action,
    ) {
        let event = match action {
            action::Action::Start { attempt, .. } => event::Event::AttemptStarted(attempt),
            action::Action::RecordCheckpoint { attempt, checkpoint } => {
                event::Event::CheckpointRecorded { attempt, checkpoint }
            }
            action::Action::End { attempt, outcome, checkpoint, .. } => {
                // The ledger decides whether the task may run again, not the proposed action.
                let park = ledger.get_task(attempt.task).and_then(tasks::park_reason);
                event::Event::AttemptEnded { attempt, outcome, checkpoint, park }
            }
            action::Action::Park { task, reason } => event::Event::TaskParked { task, reason },
            action::Action::Unpark { task } => event::Event::TaskUnparked(task),
            _ => return,
        };
        self.scheduler_event(now, event);
    }

    /// Notifies the scheduler that an action will never be committed.
    pub(in crate::control) fn proposal_lost(
        &mut self,
        now: time::Monotonic,
        action: action::Action,
    ) {
        self.scheduler_event(now, event::Event::ProposalLost(Box::new(action)));
    }
}

fn to_command(action: &action::Action) -> Option<command::Command> {
    match action {
        action::Action::Start { attempt, .. } => Some(command::Command::StartAttempt {
            attempt: attempt.id,
            worker: attempt.worker.clone(),
            incarnation: attempt.incarnation,
            reserved: attempt.reserved,
        }),
        action::Action::RecordCheckpoint { attempt, checkpoint } => {
            let checkpoint = to_ledger_checkpoint(checkpoint);
            Some(command::Command::RecordCheckpoint { attempt: *attempt, checkpoint })
        }
        action::Action::End { attempt, outcome, checkpoint, park } => {
            Some(command::Command::EndAttempt {
                attempt: *attempt,
                outcome: to_ledger_outcome(outcome),
                checkpoint: checkpoint.as_ref().map(to_ledger_checkpoint),
                parking: park.as_ref().map(to_parking),
            })
        }
        action::Action::Park { task, reason } => {
            Some(command::Command::ParkTask { task: *task, parking: to_parking(reason) })
        }
        action::Action::Unpark { task } => Some(command::Command::ReleaseTask { task: *task }),
        action::Action::Stop { .. }
        | action::Action::Throttle { .. }
        | action::Action::TakeCheckpoint { .. }
        | action::Action::Quarantine { .. }
        | action::Action::Release { .. } => None,
    }
}

fn to_parking(reason: &action::ParkReason) -> job::Parking {
    job::Parking {
        reason: format!("{reason}; what would make it run: {}", reason.get_remedy()),
        cause: serde_json::to_string(reason).unwrap_or_default(),
    }
}

fn to_ledger_checkpoint(checkpoint: &event::Checkpoint) -> job::Checkpoint {
    job::Checkpoint { sequence: checkpoint.sequence, data: checkpoint.data.clone() }
}

fn to_ledger_outcome(outcome: &action::Outcome) -> job::AttemptOutcome {
    match outcome {
        action::Outcome::Finished => job::AttemptOutcome::Finished,
        action::Outcome::Failed { reason, progress } => job::AttemptOutcome::Failed {
            reason: reason.clone(),
            progress: to_ledger_progress(*progress),
        },
        action::Outcome::Stopped { progress } => {
            job::AttemptOutcome::Stopped { progress: to_ledger_progress(*progress) }
        }
        action::Outcome::Lost { may_have_begun } => job::AttemptOutcome::Lost {
            progress: if *may_have_begun {
                job::Progress::PastCheckpoint
            } else {
                job::Progress::NotBegun
            },
        },
    }
}

fn to_ledger_progress(progress: event::Progress) -> job::Progress {
    match progress {
        event::Progress::NotBegun => job::Progress::NotBegun,
        event::Progress::AtCheckpoint => job::Progress::AtCheckpoint,
        event::Progress::PastCheckpoint => job::Progress::PastCheckpoint,
    }
}
