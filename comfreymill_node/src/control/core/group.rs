use comfreymill_group::entry;
use comfreymill_group::replica;
use comfreymill_ledger::command;
use comfreymill_ledger::ledger;
use comfreymill_types::time;

use super::core::Core;
use super::waiter::Waiter;
use crate::control::leader::Leader;
use crate::protocol;

/// # Actions of the replica
impl Core {
    /// Runs the replica's actions and proposes decisions until neither is left, then sends the
    /// resulting state to entries and takes a snapshot if one is due.
    pub(super) fn run_pending(&mut self, now: time::Monotonic) {
        loop {
            let actions = self.replica.take_actions();
            let is_idle = actions.is_empty();
            for action in actions {
                self.run_action(now, action);
            }
            self.update_leadership(now);
            let has_proposed = self.propose_decisions(now);
            if is_idle && !has_proposed {
                break;
            }
        }
        self.push(now);
        self.sessions.remove_stalled();
        self.snapshot_if_due();
    }

    fn run_action(&mut self, now: time::Monotonic, action: replica::Action) {
        match action {
            replica::Action::Persist(write) => self.store.write(write),
            replica::Action::Send { to, message } => self.voters.send(to, &message),
            replica::Action::Commit { entries } => {
                for entry in entries {
                    self.apply_entry(now, entry);
                }
            }
            replica::Action::InstallSnapshot(snapshot) => {
                match ledger::Ledger::from_snapshot(&snapshot.data) {
                    Ok(ledger) => self.ledger = ledger,
                    Err(error) => {
                        self.failure = Some(format!("the snapshot cannot be restored: {error}"));
                    }
                }
            }
            replica::Action::Role { role, term, .. } => {
                log::info!(target: "control", "This replica is {role} in term {term}.");
            }
            // The waiters were notified when this replica lost leadership.
            replica::Action::Truncated { .. } => {}
            replica::Action::Halt(halt) => self.failure = Some(halt.to_string()),
        }
    }

    fn apply_entry(&mut self, now: time::Monotonic, entry: entry::Entry) {
        let waiter = self.proposals.take(entry.index, entry.term).unwrap_or(Waiter::Nobody);
        let entry::Payload::Data(data) = entry.payload else {
            if let Waiter::Call { session, id, format } = waiter {
                self.sessions.reply(session, id, &format.to_call_result(command::Reply::Done));
            }
            return;
        };
        match comfreymill_ledger::codec::decode(&data) {
            Ok(record) => self.apply(now, entry.index.get(), record, waiter),
            Err(error) => {
                self.failure =
                    Some(format!("log entry {} cannot be decoded: {error}", entry.index));
            }
        }
    }

    /// Creates or drops the leader's state when the role or term of the replica changes.
    fn update_leadership(&mut self, now: time::Monotonic) {
        let term = self.replica.term().get();
        let is_leader = self.replica.role() == replica::Role::Leader;
        if self.leader.as_ref().is_some_and(|leader| !is_leader || leader.get_term() != term) {
            self.leader = None;
            log::info!(target: "control", "This process is no longer the leader.");
        }
        if !is_leader {
            for waiter in self.proposals.take_all() {
                self.handle_lost_proposal(now, waiter);
            }
        }
        if is_leader && self.leader.is_none() && self.replica.is_ready() {
            log::info!(target: "control", "This process is the leader in term {term}.");
            self.sessions.clear_sent();
            self.leader = Some(Leader::new(&self.cfg, &self.ledger, term, now));
        }
    }

    /// Notifies a waiter that its proposal was rejected, or that its result is unknown to this
    /// replica.
    ///
    /// The entry resends a call to the leader under the same key.
    pub(super) fn handle_lost_proposal(&mut self, now: time::Monotonic, waiter: Waiter) {
        match waiter {
            Waiter::Call { session, id, .. } => self.redirect(session, id),
            Waiter::Scheduler(action) => {
                if let Some(leader) = &mut self.leader {
                    leader.proposal_lost(now, *action);
                }
            }
            Waiter::Grants(changes) => {
                if let Some(leader) = &mut self.leader {
                    leader.requeue_grant_changes(changes);
                }
            }
            Waiter::Nobody => {}
        }
    }

    pub(super) fn redirect(&mut self, session: crate::peer::SessionId, id: u64) {
        let hint = self.replica.leader_hint().filter(|leader| *leader != self.replica.voter());
        let leader = hint.and_then(|leader| self.voters.name(leader)).cloned();
        self.sessions.reply(session, id, &Ok(protocol::Answer::Redirect(leader)));
    }

    fn snapshot_if_due(&mut self) {
        let applied = self.ledger.get_applied();
        let covered = self.replica.snapshot_index().get();
        if applied.saturating_sub(covered) < self.cfg.snapshot_entries {
            return;
        }
        let index = comfreymill_group::id::Index::new(applied);
        if self.replica.snapshot_taken(index, self.ledger.to_snapshot()) {
            log::info!(target: "control", "A snapshot of the log up to entry {applied} was taken.");
        }
    }
}
