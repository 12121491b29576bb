use bytes::Bytes;

use super::{CrashedRun, ZoneOrder};
use crate::id;
use crate::job;
use crate::routes;
use crate::worker;

/// Command that changes the replicated state.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Command {
    /// Assigns a new leader a fencing token that is higher than all before.
    Lead,
    /// Puts routes in force; a version that is not higher than the current one is ignored.
    SetRoutes {
        /// Decoded routes.
        table: Box<routes::RouteTable>,
        /// Routes document as it was received.
        document: Bytes,
    },
    /// Adds a job; a key that exists already is ignored.
    Submit(Box<Submission>),
    /// Cancels a job at its caller's request.
    Cancel {
        /// Key of the job.
        job: id::JobKey,
    },
    /// Adds a worker incarnation, which may get orders from now on.
    AddWorker {
        /// First announcement of the incarnation.
        announced: Box<worker::Announcement>,
    },
    /// Removes worker incarnations that are gone.
    DropWorkers {
        /// Numbers of the incarnations.
        workers: Vec<id::WorkerNumber>,
    },
    /// Records ends of runs that a worker reported.
    NoteEnds {
        /// Worker that reported the ends.
        worker: id::WorkerNumber,
        /// Ends, in ascending order of their numbers.
        ends: Vec<worker::End>,
    },
    /// Removes jobs that are over and whose outcome is no longer retained.
    Forget {
        /// Keys of the jobs.
        jobs: Vec<id::JobKey>,
    },
    /// Records that a worker is leaving and gets no more tasks.
    MarkLeaving {
        /// Number of the incarnation.
        worker: id::WorkerNumber,
        /// Sequence number of the announcement that said so; later ones may say otherwise.
        sequence: u64,
    },
    /// Removes a worker incarnation that has crashed, and counts the crash for the tasks that were
    /// running there.
    NoteCrash {
        /// Number of the incarnation.
        worker: id::WorkerNumber,
        /// Runs that were in progress.
        runs: Vec<CrashedRun>,
        /// Tasks whose jobs are given up, since they crash the workers that start them.
        given_up: Vec<id::TaskId>,
    },
    /// Records that the capacity of a worker has changed.
    SetCapacity {
        /// Number of the incarnation.
        worker: id::WorkerNumber,
        /// New capacity.
        capacity: worker::Resources,
    },
    /// Evacuates an availability zone: no task starts there any more.
    Evacuate(Box<ZoneOrder>),
    /// Withdraws the evacuation of an availability zone.
    WithdrawEvacuation(Box<ZoneOrder>),
    /// Records that a worker is in another availability zone.
    SetZone {
        /// Number of the incarnation.
        worker: id::WorkerNumber,
        /// Name of the zone, not validated.
        zone: String,
    },
    /// Adds a job like [`Self::Submit`], which earlier builds wrote, with the time of its arrival.
    SubmitAt {
        /// Job to add.
        submission: Box<Submission>,
        /// Time at which the leader received it, in milliseconds since the Unix epoch.
        unix_ms: u64,
    },
}

/// Job with the queue that it was submitted to.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Submission {
    /// Key that the caller chose.
    pub job: id::JobKey,
    /// Name of the queue.
    pub queue: String,
    /// Number of failed runs of a task after which the job fails.
    pub max_attempts: u32,
    /// Specification of the job.
    pub spec: job::JobSpec,
}
