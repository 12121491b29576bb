use crate::entry;
use crate::id;
use crate::message;
use crate::replica::{Halt, Persist, Role};
use crate::snapshot;

/// Operation that the caller has to carry out, in the order returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write to the store, sync, then call [`crate::replica::Replica::persisted`].
    Persist(Persist),
    /// Send a message to another replica; delivery is not required.
    Send {
        /// Id of the receiver.
        to: id::VoterId,
        /// Message to send.
        message: message::Message,
    },
    /// Apply entries to the replicated state machine.
    Commit {
        /// Committed entries that follow those of the previous commit or snapshot.
        entries: Vec<entry::Entry>,
    },
    /// Replace the state of the replicated state machine by the snapshot's.
    InstallSnapshot(snapshot::Snapshot),
    /// The role, term or leader changed.
    Role {
        /// Current role.
        role: Role,
        /// Current term.
        term: id::Term,
        /// Leader of the term, if known.
        leader: Option<id::VoterId>,
    },
    /// Entries were removed from this replica's log, because a leader overwrote them or a snapshot
    /// replaced the log. Another replica may still hold and commit them, so their outcome is
    /// unknown until an entry of another term is committed at their index.
    Truncated {
        /// Index of the first removed entry.
        from: id::Index,
        /// Index of the last removed entry.
        to: id::Index,
    },
    /// The replica halted; every later call does nothing.
    Halt(Halt),
}
