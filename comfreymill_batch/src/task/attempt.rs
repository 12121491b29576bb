use comfreymill_types::id;
use comfreymill_types::size;
use comfreymill_types::time;

use super::Grip;
use crate::action;
use crate::event;
use crate::fleet;

/// Attempt that holds room on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) id: id::AttemptId,
    pub(crate) worker: fleet::WorkerIndex,
    pub(crate) incarnation: id::Incarnation,
    pub(crate) reserved: size::Resources,
    /// What the worker was last seen to use for it, or what is reserved until then.
    pub(crate) observed: size::Resources,
    pub(crate) grip: Grip,
    pub(crate) directive: action::Directive,
    /// Reason to stop once a checkpoint is on record.
    pub(crate) stop_after: Option<action::StopReason>,
    pub(crate) checkpoint_due: time::Monotonic,
    pub(crate) granted_at: time::Monotonic,
    pub(crate) running_since: Option<time::Monotonic>,
    pub(crate) checkpoint_at: Option<time::Monotonic>,
    /// Greatest checkpoint that was proposed.
    pub(crate) proposed_checkpoint: u64,
    /// Rack that it is counted in.
    pub(crate) rack: Option<id::RackName>,
    /// Whether an answer may have listed it.
    pub(crate) offered: bool,
    /// Whether the worker reported it in this life.
    pub(crate) reported: bool,
}

impl Attempt {
    /// Attempt of `view` on the worker at `worker`.
    pub(crate) fn new(
        view: &event::AttemptView,
        worker: fleet::WorkerIndex,
        grip: Grip,
        now: time::Monotonic,
    ) -> Self {
        Self {
            id: view.id,
            worker,
            incarnation: view.incarnation,
            reserved: view.reserved,
            observed: view.reserved,
            grip,
            directive: action::Directive::Run,
            stop_after: None,
            checkpoint_due: time::Monotonic::MAX,
            granted_at: now,
            running_since: None,
            checkpoint_at: None,
            proposed_checkpoint: 0,
            rack: None,
            offered: false,
            reported: false,
        }
    }

    /// Whether its start is on record and its end is not proposed.
    pub(crate) fn is_live(&self) -> bool {
        matches!(self.grip, Grip::Live)
    }

    /// Whether it is being stopped or saved before a stop.
    pub(crate) fn is_leaving(&self) -> bool {
        self.stop_after.is_some()
            || self.directive == action::Directive::Stop
            || matches!(self.grip, Grip::Ending { .. })
    }

    /// Share of full speed that it runs at.
    pub(crate) fn get_speed(&self) -> f64 {
        match self.directive {
            action::Directive::Run => 1.0,
            action::Directive::Throttle(percent) => percent.as_factor(),
            action::Directive::Checkpoint | action::Directive::Stop => 0.0,
        }
    }

    /// Time of work that a stop without a checkpoint would lose.
    pub(crate) fn get_unsaved(&self, now: time::Monotonic) -> std::time::Duration {
        let since = self.checkpoint_at.or(self.running_since).unwrap_or(now);
        now.since(since)
    }
}
