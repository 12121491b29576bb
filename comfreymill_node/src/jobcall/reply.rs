use std::net::SocketAddr;

use bytes::Bytes;

/// Reply to a call.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Reply {
    /// The call succeeded; any change is committed.
    Done,
    /// Phase of the job.
    Job(Phase),
    /// Number of the queue's jobs of which no task has started.
    Waiting(u64),
    /// No job has the requested key.
    NoSuchJob,
    /// No queue matches the host and path of the request.
    NoSuchQueue,
    /// The request is malformed, for the given reason.
    Malformed(String),
    /// No routes are in force yet.
    NoRoutes,
    /// Document of the routes in force.
    Routes(Bytes),
    /// The announcement was received; later ones should go to the address, if there is one.
    Heard(Option<SocketAddr>),
    /// The process is not the leader, or cannot be sure that it is; the call changed nothing.
    NotLeader,
    /// The outcome of the call is unknown; the caller must retry.
    Unknown,
    /// The leader has more to do than it can; the call changed nothing.
    Overloaded {
        /// When the caller should send the call again, in milliseconds.
        retry_after_ms: u32,
    },
    /// No availability zone has the requested name; the reason names it and the known zones.
    NoSuchZone(String),
    /// Another order about the zone was committed after the order was received.
    Superseded,
    /// Zones that are or were evacuated, as JSON text.
    Evacuations(Bytes),
}

/// Progress of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Phase {
    /// No task of the job has started.
    Pending,
    /// At least one task of the job has started.
    Running,
    /// All tasks of the job are done.
    Completed,
    /// A task of the job has used up its attempts.
    Failed,
    /// The caller has cancelled the job.
    Cancelled,
}

impl Phase {
    /// Returns the name of the phase in answers to callers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Pending => "pending",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}
