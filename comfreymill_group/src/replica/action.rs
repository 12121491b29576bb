use crate::entry;
use crate::id;
use crate::message;
use crate::replica::{Halt, Persist, Role};
use crate::snapshot;

/// What the shell has to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write to the store, sync, then call [`crate::replica::Replica::persisted`].
    Persist(Persist),
    /// Send to another replica; it may be lost.
    Send {
        /// Receiver.
        to: id::VoterId,
        /// Message.
        message: message::Message,
    },
    /// Apply to the replicated state machine.
    Commit {
        /// Entries that follow those of the last commit or snapshot.
        entries: Vec<entry::Entry>,
    },
    /// Replace the state machine's state by the snapshot's.
    InstallSnapshot(snapshot::Snapshot),
    /// The role, term or leader changed.
    Role {
        /// Role now.
        role: Role,
        /// Term now.
        term: id::Term,
        /// Leader of the term, if known.
        leader: Option<id::VoterId>,
    },
    /// Entries of this replica's log were overwritten. Another replica may still hold and commit
    /// them: their outcome is unknown until a commit passes their index with another term.
    Dropped {
        /// First entry overwritten.
        from: id::Index,
        /// Last entry overwritten.
        to: id::Index,
    },
    /// The replica took itself out of service; every later call does nothing.
    Halt(Halt),
}
