use std::collections::BTreeMap;

use bytes::Bytes;

use super::{Job, Worker};
use crate::id;
use crate::routes;

/// State that the log builds.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct State {
    /// Last entry that was applied.
    pub(super) applied: u64,
    /// Token of the newest leader.
    pub(super) fence: id::Fence,
    /// Routes in force.
    pub(super) routes: Option<Routes>,
    /// Jobs by key.
    pub(super) jobs: BTreeMap<id::JobKey, Job>,
    /// Lives of workers that may hold runs.
    pub(super) workers: BTreeMap<id::WorkerNumber, Worker>,
    /// Number of the newest life.
    pub(super) last_worker: id::WorkerNumber,
}

/// Routes in force, decoded and as they were sent.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Routes {
    /// Decoded routes.
    pub table: routes::RouteTable,
    /// Document as it was sent.
    pub document: Bytes,
}

/// A snapshot or an entry of the log can't be read.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
#[error("{what}: {source}")]
pub struct StateError {
    /// What was read.
    pub what: &'static str,
    /// What is wrong with it.
    pub source: postcard::Error,
}

impl State {
    /// State that a snapshot holds.
    ///
    /// # Errors
    ///
    /// The snapshot is malformed.
    pub fn from_snapshot(data: &[u8]) -> Result<Self, StateError> {
        postcard::from_bytes(data).map_err(|source| StateError { what: "snapshot", source })
    }

    /// Snapshot of this state.
    ///
    /// # Errors
    ///
    /// The state can't be encoded.
    pub fn to_snapshot(&self) -> Result<Bytes, StateError> {
        let encoded = postcard::to_stdvec(self);
        encoded.map(Bytes::from).map_err(|source| StateError { what: "snapshot", source })
    }

    /// Last entry that was applied.
    pub fn get_applied(&self) -> u64 {
        self.applied
    }

    /// Token of the newest leader.
    pub fn get_fence(&self) -> id::Fence {
        self.fence
    }

    /// Routes in force.
    pub fn get_routes(&self) -> Option<&Routes> {
        self.routes.as_ref()
    }

    /// Jobs by key.
    pub fn get_jobs(&self) -> &BTreeMap<id::JobKey, Job> {
        &self.jobs
    }

    /// Lives of workers that may hold runs.
    pub fn get_workers(&self) -> &BTreeMap<id::WorkerNumber, Worker> {
        &self.workers
    }
}
