use bytes::Bytes;
use comfreymill_jobs::job;
use comfreymill_jobs::routes;
use comfreymill_jobs::state;
use comfreymill_jobs::worker;

/// Call to the leader.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Call {
    /// Submits a job.
    Submit {
        /// Host that the request names.
        host: String,
        /// Path of the request.
        path: String,
        /// Specification of the job.
        spec: Box<job::JobSpec>,
    },
    /// Returns the phase of a job, or the number of waiting jobs of a queue.
    Show {
        /// Host that the request names.
        host: String,
        /// Path of the request.
        path: String,
    },
    /// Cancels a job.
    Cancel {
        /// Host that the request names.
        host: String,
        /// Path of the request.
        path: String,
    },
    /// Passes on a worker's announcement.
    Announce(Box<worker::Announcement>),
    /// Passes on a worker's message that it shuts down.
    Depart(worker::Departure),
    /// Puts a new version of the routes into force.
    PutRoutes {
        /// Decoded routes.
        table: Box<routes::RouteTable>,
        /// Document with the routes, as the operator sent it.
        document: Bytes,
    },
    /// Returns the document of the routes in force.
    GetRoutes,
    /// Evacuates an availability zone.
    Evacuate(Box<state::ZoneOrder>),
    /// Withdraws the evacuation of an availability zone.
    WithdrawEvacuation(Box<state::ZoneOrder>),
    /// Returns the zones that are or were evacuated, with what is left there, as JSON text.
    ShowEvacuations,
}
