use comfreymill_types::id;
use comfreymill_types::size;
use comfreymill_types::time;

use super::{Attempt, Phase};
use crate::action;
use crate::catalog;
use crate::event;

/// Task that is not over.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) id: id::TaskId,
    pub(crate) team: catalog::TeamIndex,
    pub(crate) class: catalog::ClassIndex,
    pub(crate) order: u64,
    pub(crate) declared: Option<size::Resources>,
    pub(crate) checkpoint: Option<event::Checkpoint>,
    pub(crate) last_attempt: id::AttemptNumber,
    pub(crate) excluded: Vec<id::WorkerName>,
    /// Separate workers on which it failed.
    pub(crate) failed_on: Vec<id::WorkerName>,
    /// Failures, wherever they were.
    pub(crate) failures: u32,
    /// Separate workers that restarted soon after it began there.
    pub(crate) crashed_on: Vec<id::WorkerName>,
    /// Workers that it failed on and is not placed on while others can hold it.
    pub(crate) avoided: Vec<id::WorkerName>,
    /// Whether it failed on all the workers that could hold it.
    pub(crate) tried_all: bool,
    pub(crate) retries: u32,
    pub(crate) cancelled: bool,
    pub(crate) waiting_since: time::Monotonic,
    pub(crate) phase: Phase,
}

impl Task {
    /// Task of `view` that is not queued yet.
    pub(crate) fn new(
        view: event::TaskView,
        team: catalog::TeamIndex,
        class: catalog::ClassIndex,
        now: time::Monotonic,
    ) -> Self {
        Self {
            id: view.id,
            team,
            class,
            order: view.order,
            declared: view.size,
            checkpoint: view.checkpoint,
            last_attempt: view.last_attempt,
            excluded: view.excluded,
            avoided: view.failed_on.clone(),
            failed_on: view.failed_on,
            failures: 0,
            crashed_on: Vec::new(),
            tried_all: false,
            retries: 0,
            cancelled: view.cancelled,
            waiting_since: now,
            phase: view.parked.map_or(Phase::Delayed(now), Phase::Parked),
        }
    }

    pub(crate) fn attempt(&self) -> Option<&Attempt> {
        match &self.phase {
            Phase::Active(attempt) => Some(attempt),
            _ => None,
        }
    }

    pub(crate) fn attempt_mut(&mut self) -> Option<&mut Attempt> {
        match &mut self.phase {
            Phase::Active(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// Why the task waits for a person, if it does.
    pub(crate) fn park_reason(&self) -> Option<&action::ParkReason> {
        match &self.phase {
            Phase::Parked(reason) | Phase::Parking(reason) => Some(reason),
            _ => None,
        }
    }

    /// Whether it is not to run on `worker`.
    pub(crate) fn avoids(&self, worker: &id::WorkerName) -> bool {
        self.excluded.contains(worker) || self.avoided.contains(worker)
    }

    /// Whether its placement differs from that of the other tasks of its class.
    pub(crate) fn is_picky(&self) -> bool {
        !(self.excluded.is_empty() && self.avoided.is_empty())
    }

    /// Keeps it off `worker` while others can hold it.
    pub(crate) fn avoid(&mut self, worker: &id::WorkerName) {
        if !self.avoided.contains(worker) {
            self.avoided.push(worker.clone());
        }
    }

    /// Sequence of the checkpoint on record, zero if there is none.
    pub(crate) fn get_checkpoint_sequence(&self) -> u64 {
        self.checkpoint.as_ref().map_or(0, |checkpoint| checkpoint.sequence)
    }
}
