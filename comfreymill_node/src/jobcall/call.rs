use bytes::Bytes;
use comfreymill_jobs::job;
use comfreymill_jobs::routes;
use comfreymill_jobs::worker;

/// What a process asks of the leader.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub(crate) enum Call {
    /// Take a job.
    Submit {
        /// Host that the request names.
        host: String,
        /// Its path.
        path: String,
        /// Job.
        spec: Box<job::JobSpec>,
    },
    /// Tell how far a job or a queue is.
    Show {
        /// Host that the request names.
        host: String,
        /// Its path.
        path: String,
    },
    /// Cancel a job.
    Cancel {
        /// Host that the request names.
        host: String,
        /// Its path.
        path: String,
    },
    /// Take a worker's announcement.
    Announce(Box<worker::Announcement>),
    /// Take in that a worker has left.
    Depart(worker::Departure),
    /// Put routes in force.
    PutRoutes {
        /// Decoded routes.
        table: Box<routes::RouteTable>,
        /// Document as it was sent.
        document: Bytes,
    },
    /// Tell which routes are in force.
    GetRoutes,
}
