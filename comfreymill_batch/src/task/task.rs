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
    /// Distinct workers on which the task failed.
    pub(crate) failed_on: Vec<id::WorkerName>,
    /// Number of failures on all workers.
    pub(crate) failures: u32,
    /// Distinct workers that restarted soon after the task began there.
    pub(crate) crashed_on: Vec<id::WorkerName>,
    /// Workers on which the task failed; it is not placed there while another can hold it.
    pub(crate) avoided: Vec<id::WorkerName>,
    /// Whether the task failed on all the workers that can hold it.
    pub(crate) failed_everywhere: bool,
    pub(crate) retries: u32,
    pub(crate) cancelled: bool,
    pub(crate) waiting_since: time::Monotonic,
    pub(crate) phase: Phase,
}

impl Task {
    /// Creates the task of `view`, not queued yet.
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
            failed_everywhere: false,
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

    /// Returns why the task is parked or is being parked, if it is.
    pub(crate) fn park_reason(&self) -> Option<&action::ParkReason> {
        match &self.phase {
            Phase::Parked(reason) | Phase::Parking(reason) => Some(reason),
            _ => None,
        }
    }

    /// Returns whether the task must not be placed on `worker`.
    pub(crate) fn avoids(&self, worker: &id::WorkerName) -> bool {
        self.excluded.contains(worker) || self.avoided.contains(worker)
    }

    /// Returns whether the task must not be placed on some workers, so that its placement differs
    /// from that of the other tasks of its class.
    pub(crate) fn avoids_workers(&self) -> bool {
        !(self.excluded.is_empty() && self.avoided.is_empty())
    }

    /// Keeps the task off `worker` while another can hold it.
    pub(crate) fn avoid(&mut self, worker: &id::WorkerName) {
        if !self.avoided.contains(worker) {
            self.avoided.push(worker.clone());
        }
    }

    /// Returns the sequence of the recorded checkpoint, or zero if there is none.
    pub(crate) fn get_checkpoint_sequence(&self) -> u64 {
        self.checkpoint.as_ref().map_or(0, |checkpoint| checkpoint.sequence)
    }
}
