use comfreymill_ledger::command;
use comfreymill_ledger::request;
use comfreymill_types::error;
use comfreymill_types::time;

use super::core::Core;
use super::waiter::{Shape, Waiter};
use crate::peer::SessionId;
use crate::protocol;

/// # Calls from entries
impl Core {
    pub(super) fn call(
        &mut self,
        now: time::Monotonic,
        session: SessionId,
        id: u64,
        call: protocol::Call,
    ) {
        if !self.is_serving(now) || self.lead.is_none() {
            self.redirect(session, id);
            return;
        }
        let Some(open) = self.sessions.get_mut(session) else { return };
        open.is_active = true;
        let owner = open.owner.clone();
        match call {
            protocol::Call::Heartbeat(heartbeat) => {
                self.entry_heartbeat(now, session, id, &heartbeat);
            }
            protocol::Call::Announce(announcement) => {
                self.answer(session, id, |lead| lead.announced(now, announcement));
            }
            protocol::Call::WorkerHeartbeat(heartbeat) => {
                self.worker_heartbeat(now, session, id, *heartbeat);
            }
            protocol::Call::Operate(operation) => self.operate(now, session, id, &operation),
            protocol::Call::OpenRequest { key, digest, unrepeatable } => {
                self.give_up_lost_owner(now, &key);
                let command = command::Command::OpenRequest { key, digest, owner, unrepeatable };
                self.propose(now, command, Waiter::Call { session, id, shape: Shape::Request });
            }
            protocol::Call::CloseRequest { key, outcome } => {
                let command = command::Command::CloseRequest { key, owner, outcome };
                self.propose(now, command, Waiter::Call { session, id, shape: Shape::Request });
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

    fn answer<F>(&mut self, session: SessionId, id: u64, change: F)
    where
        F: FnOnce(&mut crate::control::lead::Lead) -> Result<(), error::Error>,
    {
        let Some(lead) = &mut self.lead else { return };
        let result = change(lead).map(|()| protocol::Answer::Done);
        self.sessions.reply(session, id, &result);
    }

    fn entry_heartbeat(
        &mut self,
        now: time::Monotonic,
        session: SessionId,
        id: u64,
        heartbeat: &protocol::EntryHeartbeat,
    ) {
        let (Some(lead), Some(open)) = (&mut self.lead, self.sessions.get(session)) else { return };
        let zone = (open.region.clone(), open.zone.clone());
        let is_renewed = lead.entry_heartbeat(now, &open.owner, zone, heartbeat);
        let result = if is_renewed {
            let revision = self.ledger.get_documents_revision();
            let (lease, term) = (self.cfg.entry_lease.into(), lead.get_term());
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
        let Some(lead) = &mut self.lead else { return };
        let period = self.cfg.worker_period;
        let directives = lead.worker_heartbeat(now, &self.ledger, heartbeat, period);
        let result = directives.map(protocol::Answer::Directives);
        self.sessions.reply(session, id, &result);
    }

    /// Closes an open request with an unknown outcome if its entry can no longer report one.
    fn give_up_lost_owner(&mut self, now: time::Monotonic, key: &request::RequestKey) {
        let Some(record) = self.ledger.get_requests().get(key) else { return };
        let request::RequestState::Open(owner) = &record.state else { return };
        let is_unrepeatable = record.unrepeatable;
        let Some(lead) = &self.lead else { return };
        if !lead.is_owner_lost(now, owner, is_unrepeatable) {
            return;
        }
        let owner = owner.clone();
        let outcome = request::RequestOutcome::Unknown;
        log::warn!(target: "control", "Closing request {key} of {owner}: its outcome is unknown.");
        let command = command::Command::CloseRequest { key: key.clone(), owner, outcome };
        self.propose(now, command, Waiter::Nobody);
    }
}
