use comfreymill_batch::action;
use comfreymill_ledger::command;
use comfreymill_types::id;
use comfreymill_types::time;

use super::core::Core;
use super::waiter::Waiter;

/// Change that a command makes to the leader's state, determined before the command is applied.
enum LeaderUpdate {
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
        let update = self.leader_update(&record.command);
        let reply = self.ledger.apply(index, record);
        let is_accepted = !matches!(reply, command::Reply::Refused { .. });
        if is_accepted {
            self.update_leader(now, &update, &waiter);
        }
        match waiter {
            Waiter::Call { session, id, format } => {
                self.sessions.reply(session, id, &format.to_call_result(reply));
            }
            Waiter::Scheduler(action) => self.action_applied(now, *action, is_accepted),
            Waiter::Grants(changes) => {
                if let Some(leader) = &mut self.leader {
                    leader.grants_committed(&changes);
                }
            }
            Waiter::Nobody => {}
        }
    }

    fn leader_update(&self, command: &command::Command) -> LeaderUpdate {
        match command {
            command::Command::SubmitJob { .. } => {
                let last = self.ledger.get_jobs().last_key_value();
                LeaderUpdate::Submitted(last.map(|(job, _)| *job))
            }
            command::Command::CancelJob { job } => LeaderUpdate::Cancelled(*job),
            command::Command::ReleaseTask { task } => LeaderUpdate::Released(*task),
            command::Command::SubmitDocument { .. } | command::Command::PromoteDocument { .. } => {
                LeaderUpdate::Documents(self.ledger.get_documents_revision())
            }
            _ => LeaderUpdate::None,
        }
    }

    fn update_leader(&mut self, now: time::Monotonic, update: &LeaderUpdate, waiter: &Waiter) {
        let Some(leader) = &mut self.leader else { return };
        match update {
            LeaderUpdate::Submitted(before) => {
                let last = self.ledger.get_jobs().last_key_value();
                if let Some((job, _)) = last.filter(|(job, _)| Some(**job) > *before) {
                    leader.job_added(now, &self.ledger, *job);
                }
            }
            LeaderUpdate::Cancelled(job) => leader.job_cancelled(now, &self.ledger, *job),
            LeaderUpdate::Released(task) if !matches!(waiter, Waiter::Scheduler(_)) => {
                leader.task_released(now, &self.ledger, *task);
            }
            LeaderUpdate::Documents(before) if self.ledger.get_documents_revision() > *before => {
                leader.documents_changed(now, &self.ledger);
            }
            LeaderUpdate::Released(_) | LeaderUpdate::Documents(_) | LeaderUpdate::None => {}
        }
    }

    fn action_applied(&mut self, now: time::Monotonic, action: action::Action, is_accepted: bool) {
        let Some(leader) = &mut self.leader else { return };
        if is_accepted {
            leader.action_committed(now, &self.ledger, action);
        } else {
            leader.proposal_lost(now, action);
        }
    }
}
