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
    /// Entries of this replica's log were overwritten. Another replica may still hold and commit
    /// them, so their outcome is unknown until an entry of another term is committed at their
    /// index.
    Dropped {
        /// First entry overwritten.
        from: id::Index,
        /// Last entry overwritten.
        to: id::Index,
    },
    /// The replica halted; every later call does nothing.
    Halt(Halt),
}
