use comfreymill_group::membership;
use comfreymill_group::replica;
use comfreymill_types::error;
use comfreymill_types::id;
use comfreymill_types::time;

use super::core::Core;
use super::waiter::{ReplyFormat, Waiter};
use crate::control::voters;
use crate::peer::SessionId;
use crate::protocol;

/// # Membership of the group
impl Core {
    pub(super) fn change_voter(
        &mut self,
        now: time::Monotonic,
        session: SessionId,
        id: u64,
        voter: &id::VoterName,
        change: protocol::VoterChange,
    ) {
        let replica = voters::replica_id(voter);
        let change = match change {
            protocol::VoterChange::Add => membership::Change::AddLearner(replica),
            protocol::VoterChange::Promote => membership::Change::Promote(replica),
            protocol::VoterChange::Remove => membership::Change::Remove(replica),
        };
        match self.replica.change_membership(now, change) {
            Ok(index) => {
                log::info!(
                    target: "control",
                    "Membership change proposed at entry {index}: {change:?}."
                );
                let waiter = Waiter::Call { session, id, format: ReplyFormat::Json };
                self.proposals.add(index, self.replica.term(), waiter);
            }
            Err(replica::ChangeError::NotLeader { .. }) => self.redirect(session, id),
            Err(refusal) => {
                let error = error::Error::new(error::ErrorKind::Conflict, refusal.to_string());
                self.sessions.reply(session, id, &Err(error.field("voter")));
            }
        }
    }
}
