use std::net::SocketAddr;

use bytes::Bytes;

/// What the leader answers.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) enum Reply {
    /// It is done, and committed where it changes anything.
    Done,
    /// How far a job is.
    Job(Phase),
    /// Number of a queue's jobs of which nothing has started.
    Waiting(u64),
    /// There is no such job.
    NoSuchJob,
    /// There is no such queue.
    NoSuchQueue,
    /// The request is malformed.
    Malformed(String),
    /// No routes are in force yet.
    NoRoutes,
    /// Document of the routes in force.
    Routes(Bytes),
    /// The worker is heard; later announcements should go to the address.
    Heard(Option<SocketAddr>),
    /// The process asked doesn't lead, or can't be sure that it does; nothing was done.
    NotLeader,
    /// What became of it is not known: ask again.
    Unknown,
}

/// How far a job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) enum Phase {
    /// Nothing of it was started.
    Pending,
    /// Something of it was started.
    Running,
    /// All of it is done.
    Completed,
    /// A task of it has failed as often as it may.
    Failed,
    /// Its caller no longer wanted it.
    Cancelled,
}

impl Phase {
    /// Word for callers.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Pending => "pending",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}
