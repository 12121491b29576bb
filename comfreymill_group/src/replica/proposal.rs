use crate::entry;
use crate::id;
use crate::replica::Replica;
use crate::replica::election::State;
use bytes::Bytes;
use comfreymill_types::time;

/// Log positions of proposed commands; they are final once committed in this term.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Proposed {
    /// Index of the first command.
    pub first: id::Index,
    /// Index of the last command.
    pub last: id::Index,
    /// Term of the entries.
    pub term: id::Term,
}

/// Error returned when commands are rejected; none of them will be applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ProposeError {
    /// This replica is not the leader, or is transferring leadership.
    #[error("this replica is not the leader of the group")]
    NotLeader {
        /// Leader, if known.
        hint: Option<id::VoterId>,
    },
    /// The limit of uncommitted bytes is reached.
    #[error("the limit of uncommitted bytes is reached")]
    Busy,
    /// A command is longer than the maximum.
    #[error("command of {bytes} bytes is over the limit of {limit_bytes}")]
    TooLong {
        /// Length of the command.
        bytes: usize,
        /// Maximum length.
        limit_bytes: usize,
    },
    /// No command was given.
    #[error("no command was given")]
    Empty,
}

impl Replica {
    /// Maximum length of a command.
    pub const MAX_COMMAND_BYTES: usize = 2 * 1024 * 1024;

    /// Appends commands to the log of this leader.
    ///
    /// # Errors
    ///
    /// Fails if this replica is not the leader, the limit of uncommitted bytes is reached, no
    /// command is given or a command is too long.
    pub fn propose(
        &mut self,
        now: time::Monotonic,
        data: Vec<Bytes>,
    ) -> Result<Proposed, ProposeError> {
        let leader = self.check_proposal(now)?;
        let uncommitted_bytes = leader.uncommitted_bytes;
        let bytes: usize = data.iter().map(Bytes::len).sum();
        if let Some(long) = data.iter().find(|command| command.len() > Self::MAX_COMMAND_BYTES) {
            let limit_bytes = Self::MAX_COMMAND_BYTES;
            return Err(ProposeError::TooLong { bytes: long.len(), limit_bytes });
        }
        if data.is_empty() {
            return Err(ProposeError::Empty);
        }
        let is_over = uncommitted_bytes + bytes > self.cfg.get_max_uncommitted_bytes();
        if is_over && uncommitted_bytes > 0 {
            return Err(ProposeError::Busy);
        }
        let first = self.log.last_index().next();
        for data in data {
            self.append_own(entry::Payload::Data(data));
        }
        self.replicate_at = Some(now);
        Ok(Proposed { first, last: self.log.last_index(), term: self.term() })
    }

    /// Appends an entry of the current term to the log.
    pub(super) fn append_own(&mut self, payload: entry::Payload) {
        let index = self.log.last_index().next();
        let entry = entry::Entry { index, term: self.hard_state.term, payload };
        if let State::Leader(leader) = &mut self.state {
            leader.uncommitted_bytes += entry.size_bytes();
        }
        self.outbox.note_entries(index);
        self.log.push(entry);
    }

    fn check_proposal(
        &self,
        now: time::Monotonic,
    ) -> Result<&crate::replica::lease::Leader, ProposeError> {
        let hint = self.leader.filter(|leader| *leader != self.voter);
        let not_leader = ProposeError::NotLeader { hint };
        let State::Leader(leader) = &self.state else { return Err(not_leader) };
        let confirmed =
            self.lease_valid(now) || now.since(leader.elected_at) < self.cfg.get_lease();
        if leader.transfer.is_some() || !confirmed || self.halted.is_some() {
            return Err(not_leader);
        }
        Ok(leader)
    }
}
