use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

use bytes::Bytes;

use super::{
    Cancellations, CrashRecord, Departures, Evacuations, FormerWorkers, GivenUp, Job, Worker,
};
use crate::id;
use crate::routes;

/// State that results from applying the commands of the log.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct State {
    /// Index of the last log entry that was applied.
    pub(super) applied: u64,
    /// Fencing token of the newest leader.
    pub(super) fence: id::Fence,
    /// Routes in force.
    pub(super) routes: Option<Routes>,
    /// Jobs by key.
    pub(super) jobs: BTreeMap<id::JobKey, Job>,
    /// Worker incarnations that may have runs, by number.
    pub(super) workers: BTreeMap<id::WorkerNumber, Worker>,
    /// Number of the newest worker incarnation.
    pub(super) last_worker: id::WorkerNumber,
    /// Workers that are leaving, with the sequence numbers of the announcements that said so.
    pub(super) leaving: BTreeMap<id::WorkerNumber, u64>,
    /// Crashes of workers under tasks of jobs that are not over.
    pub(super) crashes: BTreeMap<id::TaskId, CrashRecord>,
    /// Jobs that were given up, as long as their outcome is retained.
    pub(super) given_up: BTreeMap<id::JobKey, GivenUp>,
    /// Workers that were removed after they had said that they were leaving.
    pub(super) departures: Departures,
    /// Operators' orders about availability zones.
    pub(super) evacuations: Evacuations,
    /// Times at which open jobs were accepted, in milliseconds since the Unix epoch.
    pub(super) accepted: BTreeMap<id::JobKey, u64>,
    /// Queues that were removed from the routes while they had open jobs.
    pub(super) removed_queues: Vec<routes::Queue>,
    /// Cancellations of jobs that were not submitted by then.
    pub(super) cancellations: Cancellations,
    /// Names of incarnations that were removed.
    pub(super) former_workers: FormerWorkers,
    /// Incarnations that had an earlier one of their name.
    pub(super) restarted: BTreeSet<id::WorkerNumber>,
    /// Numbers of crashes right after a start of a task that a cause in common with other crashes
    /// explains, for tasks of jobs that are not over.
    pub(super) explained_crashes: BTreeMap<id::TaskId, u32>,
}

/// Routes in force, decoded and as received.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Routes {
    /// Decoded routes.
    pub table: routes::RouteTable,
    /// Routes document as it was received.
    pub document: Bytes,
}

/// Error returned when a snapshot cannot be encoded or decoded.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
#[error("{what}: {source}")]
pub struct StateError {
    /// What was being encoded or decoded.
    pub what: &'static str,
    /// Underlying encoding error.
    pub source: postcard::Error,
}

/// Encoding of the fields that were added to the end of the state since version 0.1, all empty.
const ADDED_FIELDS: &[u8] = &[0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];

impl State {
    /// Decodes the state from a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the snapshot is malformed.
    pub fn from_snapshot(data: &[u8]) -> Result<Self, StateError> {
        let mut decoded = postcard::from_bytes(data);
        // A snapshot of an earlier version ends before the fields that were added later.
        for missing in 1..=ADDED_FIELDS.len() {
            if decoded != Err(postcard::Error::DeserializeUnexpectedEnd) {
                break;
            }
            decoded = postcard::from_bytes(&[data, &ADDED_FIELDS[..missing]].concat());
        }
        decoded.map_err(|source| StateError { what: "snapshot", source })
    }

    /// Encodes this state as a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the state cannot be encoded.
    pub fn to_snapshot(&self) -> Result<Bytes, StateError> {
        let encoded = postcard::to_stdvec(self);
        encoded.map(Bytes::from).map_err(|source| StateError { what: "snapshot", source })
    }

    /// Returns the index of the last log entry that was applied.
    pub fn get_applied(&self) -> u64 {
        self.applied
    }

    /// Returns the fencing token of the newest leader.
    pub fn get_fence(&self) -> id::Fence {
        self.fence
    }

    /// Returns the routes in force.
    pub fn get_routes(&self) -> Option<&Routes> {
        self.routes.as_ref()
    }

    /// Returns the jobs by key.
    pub fn get_jobs(&self) -> &BTreeMap<id::JobKey, Job> {
        &self.jobs
    }

    /// Returns when an open job was accepted, in milliseconds since the Unix epoch, if the log says so.
    pub fn get_accepted_unix_ms(&self, job: id::JobKey) -> Option<u64> {
        self.accepted.get(&job).copied()
    }

    /// Returns the worker incarnations that may have runs, by number.
    pub fn get_workers(&self) -> &BTreeMap<id::WorkerNumber, Worker> {
        &self.workers
    }

    /// Returns the crashes of workers under the runs of a task.
    pub fn get_crashes(&self, task: id::TaskId) -> CrashRecord {
        self.crashes.get(&task).copied().unwrap_or_default()
    }

    /// Returns the tasks of an open job under which workers have crashed.
    pub fn get_crashed_tasks(&self, job: id::JobKey) -> BTreeSet<id::TaskId> {
        let counted = self.crashes.range(tasks_of(job)).map(|(task, _)| *task);
        let explained = self.explained_crashes.range(tasks_of(job)).map(|(task, _)| *task);
        counted.chain(explained).collect()
    }

    /// Returns the number of crashes right after a start of a task that a cause in common with other
    /// crashes explains.
    pub fn get_explained_crashes(&self, task: id::TaskId) -> u32 {
        self.explained_crashes.get(&task).copied().unwrap_or_default()
    }

    /// Returns why a job was given up, if it was.
    pub fn get_given_up(&self, job: id::JobKey) -> Option<&GivenUp> {
        self.given_up.get(&job)
    }

    /// Returns the names of incarnations that were removed.
    pub fn get_former_workers(&self) -> &FormerWorkers {
        &self.former_workers
    }

    /// Returns whether an incarnation had an earlier one of its name, whose orders may reach it.
    pub fn is_restarted(&self, worker: id::WorkerNumber) -> bool {
        self.restarted.contains(&worker)
    }

    /// Returns the workers that were removed after they had said that they were leaving.
    pub fn get_departures(&self) -> &Departures {
        &self.departures
    }

    /// Returns the cancellations of jobs that were not submitted by then.
    pub fn get_cancellations(&self) -> &Cancellations {
        &self.cancellations
    }

    /// Returns the operators' orders about availability zones.
    pub fn get_evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns the workers that are leaving, with the sequence numbers of the announcements that
    /// said so.
    pub fn get_leaving(&self) -> &BTreeMap<id::WorkerNumber, u64> {
        &self.leaving
    }
}

/// Returns the range of all tasks that a job may have.
fn tasks_of(job: id::JobKey) -> RangeInclusive<id::TaskId> {
    let first = id::StepId { job, occurrence: 0, step: 0 }.task(0);
    let last = id::StepId { job, occurrence: u32::MAX, step: u16::MAX }.task(u16::MAX);
    first..=last
}
