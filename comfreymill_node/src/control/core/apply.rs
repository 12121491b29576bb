use comfreymill_batch::action;
use comfreymill_ledger::command;
use comfreymill_types::id;
use comfreymill_types::time;

use super::core::Core;
use super::waiter::Waiter;

/// Change that a command makes to the leader's state, determined before the command is applied.
enum Effect {
    /// A job was submitted; holds the highest job id before the command.
    Submitted(Option<id::JobId>),
    /// A job was cancelled.
    Cancelled(id::JobId),
    /// A task was released by an operator or by the scheduler.
    Released(id::TaskId),
    /// Documents may have changed; holds their revision before the command.
    Documents(u64),
    /// The leader's state does not change, or the waiter is responsible for the change.
    None,
}

/// # Committed commands
impl Core {
    /// Applies a committed command, updates the leader's state and notifies the waiter.
    pub(super) fn apply(
        &mut self,
        now: time::Monotonic,
        index: u64,
        record: command::Entry,
        waiter: Waiter,
    ) {
        let effect = self.effect(&record.command);
        let reply = self.ledger.apply(index, record);
        let was_done = !matches!(reply, command::Reply::Refused { .. });
        if was_done {
            self.follow(now, &effect, &waiter);
        }
        match waiter {
            Waiter::Call { session, id, shape } => {
                self.sessions.reply(session, id, &shape.result(reply));
            }
            Waiter::Scheduler(action) => self.scheduler_applied(now, *action, was_done),
            Waiter::Grants(changes) => {
                if let Some(lead) = &mut self.lead {
                    lead.grants_committed(&changes);
                }
            }
            Waiter::Nobody => {}
        }
    }

    fn effect(&self, command: &command::Command) -> Effect {
        match command {
            command::Command::SubmitJob { .. } => {
                let last = self.ledger.get_jobs().last_key_value();
                Effect::Submitted(last.map(|(job, _)| *job))
            }
            command::Command::CancelJob { job } => Effect::Cancelled(*job),
            command::Command::ReleaseTask { task } => Effect::Released(*task),
            command::Command::SubmitDocument { .. } | command::Command::PromoteDocument { .. } => {
                Effect::Documents(self.ledger.get_documents_revision())
            }
            _ => Effect::None,
        }
    }

    fn follow(&mut self, now: time::Monotonic, effect: &Effect, waiter: &Waiter) {
        let Some(lead) = &mut self.lead else { return };
        match effect {
            Effect::Submitted(before) => {
                let last = self.ledger.get_jobs().last_key_value();
                if let Some((job, _)) = last.filter(|(job, _)| Some(**job) > *before) {
                    lead.job_added(now, &self.ledger, *job);
                }
            }
            Effect::Cancelled(job) => lead.job_cancelled(now, &self.ledger, *job),
            Effect::Released(task) if !matches!(waiter, Waiter::Scheduler(_)) => {
                lead.task_released(now, &self.ledger, *task);
            }
            Effect::Documents(before) if self.ledger.get_documents_revision() > *before => {
                lead.documents_changed(now, &self.ledger);
            }
            Effect::Released(_) | Effect::Documents(_) | Effect::None => {}
        }
    }

    fn scheduler_applied(&mut self, now: time::Monotonic, action: action::Action, was_done: bool) {
        let Some(lead) = &mut self.lead else { return };
        if was_done {
            lead.action_committed(now, &self.ledger, action);
        } else {
            lead.proposal_lost(now, action);
        }
    }
}
