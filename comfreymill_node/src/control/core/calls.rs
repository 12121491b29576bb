use comfreymill_ledger::command;
use comfreymill_ledger::request;
use comfreymill_types::error;
use comfreymill_types::time;

use super::core::Core;
use super::waiter::{ReplyFormat, Waiter};
use crate::control::leader::Leader;
use crate::peer::SessionId;
use crate::protocol;

/// # Calls from entries
impl Core {
    pub(super) fn handle_call(
        &mut self,
        now: time::Monotonic,
        session: SessionId,
        id: u64,
        call: protocol::Call,
    ) {
        if !self.is_serving(now) || self.leader.is_none() {
            self.redirect(session, id);
            return;
        }
        let Some(caller) = self.sessions.get_mut(session) else { return };
        caller.has_called = true;
        let owner = caller.owner.clone();
        match call {
            protocol::Call::Heartbeat(heartbeat) => {
                self.entry_heartbeat(now, session, id, &heartbeat);
            }
            protocol::Call::Announce(announcement) => {
                self.reply_from_leader(session, id, |leader| {
                    leader.executor_announced(now, announcement)
                });
            }
            protocol::Call::WorkerHeartbeat(heartbeat) => {
                self.worker_heartbeat(now, session, id, *heartbeat);
            }
            protocol::Call::Operate(operation) => {
                self.handle_operation(now, session, id, &operation);
            }
            protocol::Call::OpenRequest { key, digest, unrepeatable } => {
                self.close_abandoned_request(now, &key);
                let command = command::Command::OpenRequest { key, digest, owner, unrepeatable };
                let waiter = Waiter::Call { session, id, format: ReplyFormat::Request };
                self.propose(now, command, waiter);
            }
            protocol::Call::CloseRequest { key, outcome } => {
                let command = command::Command::CloseRequest { key, owner, outcome };
                let waiter = Waiter::Call { session, id, format: ReplyFormat::Request };
                self.propose(now, command, waiter);
            }
            protocol::Call::ShowRequest(key) => {
                let record = self.ledger.get_requests().get(&key);
                let state = record.map_or(protocol::KeyedRequest::Free, |record| {
                    protocol::KeyedRequest::Known(record.state.clone())
                });
                self.sessions.reply(session, id, &Ok(protocol::Answer::Request(state)));
            }
        }
    }

    fn reply_from_leader<F>(&mut self, session: SessionId, id: u64, change: F)
    where
        F: FnOnce(&mut Leader) -> Result<(), error::Error>,
    {
        let Some(leader) = &mut self.leader else { return };
        let result = change(leader).map(|()| protocol::Answer::Done);
        self.sessions.reply(session, id, &result);
    }

    fn entry_heartbeat(
        &mut self,
        now: time::Monotonic,
        session: SessionId,
        id: u64,
        heartbeat: &protocol::EntryHeartbeat,
    ) {
        let (Some(leader), Some(caller)) = (&mut self.leader, self.sessions.get(session)) else {
            return;
        };
        let zone = (caller.region.clone(), caller.zone.clone());
        let is_renewed = leader.entry_heartbeat(now, &caller.owner, zone, heartbeat);
        let result = if is_renewed {
            let revision = self.ledger.get_documents_revision();
            let (lease, term) = (self.cfg.entry_lease.into(), leader.get_term());
            Ok(protocol::Answer::Lease(protocol::EntryLease { lease, term, revision }))
        } else {
            let message = "a newer incarnation of this entry is known";
            Err(error::Error::new(error::ErrorKind::Conflict, message))
        };
        self.sessions.reply(session, id, &result);
    }

    fn worker_heartbeat(
        &mut self,
        now: time::Monotonic,
        session: SessionId,
        id: u64,
        heartbeat: protocol::WorkerHeartbeat,
    ) {
        let Some(leader) = &mut self.leader else { return };
        let period = self.cfg.worker_period;
        let directives = leader.worker_heartbeat(now, &self.ledger, heartbeat, period);
        let result = directives.map(protocol::Answer::Directives);
        self.sessions.reply(session, id, &result);
    }

    /// Closes an open request with an unknown outcome if its entry can no longer report one.
    fn close_abandoned_request(&mut self, now: time::Monotonic, key: &request::RequestKey) {
        let Some(record) = self.ledger.get_requests().get(key) else { return };
        let request::RequestState::Open(owner) = &record.state else { return };
        let is_unrepeatable = record.unrepeatable;
        let Some(leader) = &self.leader else { return };
        if !leader.is_owner_lost(now, owner, is_unrepeatable) {
            return;
        }
        let owner = owner.clone();
        let outcome = request::RequestOutcome::Unknown;
        log::warn!(target: "control", "Closing request {key} of {owner}: its outcome is unknown.");
        let command = command::Command::CloseRequest { key: key.clone(), owner, outcome };
        self.propose(now, command, Waiter::Nobody);
    }
}
