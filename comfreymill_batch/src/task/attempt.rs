use comfreymill_types::id;
use comfreymill_types::size;
use comfreymill_types::time;

use super::CommitState;
use crate::action;
use crate::event;
use crate::fleet;

/// Attempt with resources reserved on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) id: id::AttemptId,
    pub(crate) worker: fleet::WorkerIndex,
    pub(crate) incarnation: id::Incarnation,
    pub(crate) reserved: size::Resources,
    /// Resources last measured for the attempt; those reserved until the first measurement.
    pub(crate) observed: size::Resources,
    pub(crate) commit_state: CommitState,
    pub(crate) directive: action::Directive,
    /// Reason to stop the attempt once its checkpoint is recorded.
    pub(crate) stop_after: Option<action::StopReason>,
    pub(crate) checkpoint_due: time::Monotonic,
    pub(crate) granted_at: time::Monotonic,
    pub(crate) running_since: Option<time::Monotonic>,
    pub(crate) checkpoint_at: Option<time::Monotonic>,
    /// Greatest checkpoint sequence that was proposed to the log.
    pub(crate) proposed_checkpoint: u64,
    /// Rack whose attempts it is counted among.
    pub(crate) rack: Option<id::RackName>,
    /// Whether an answer that lists the attempt may have reached the worker.
    pub(crate) offered: bool,
    /// Whether the worker's current incarnation has reported the attempt to this leader.
    pub(crate) reported: bool,
}

impl Attempt {
    /// Creates the attempt of `view` on `worker`.
    pub(crate) fn new(
        view: &event::AttemptView,
        worker: fleet::WorkerIndex,
        commit_state: CommitState,
        now: time::Monotonic,
    ) -> Self {
        Self {
            id: view.id,
            worker,
            incarnation: view.incarnation,
            reserved: view.reserved,
            observed: view.reserved,
            commit_state,
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

    /// Returns whether the start is committed and no end is proposed.
    pub(crate) fn is_started(&self) -> bool {
        matches!(self.commit_state, CommitState::Started)
    }

    /// Returns whether the attempt is being stopped, or takes a checkpoint before a stop.
    pub(crate) fn is_leaving(&self) -> bool {
        self.stop_after.is_some()
            || self.directive == action::Directive::Stop
            || matches!(self.commit_state, CommitState::EndProposed { .. })
    }

    /// Returns its speed as a fraction of full speed.
    pub(crate) fn get_speed(&self) -> f64 {
        match self.directive {
            action::Directive::Run => 1.0,
            action::Directive::Throttle(percent) => percent.as_factor(),
            action::Directive::Checkpoint | action::Directive::Stop => 0.0,
        }
    }

    /// Returns the run time that a stop without a checkpoint would lose.
    pub(crate) fn get_unsaved(&self, now: time::Monotonic) -> std::time::Duration {
        let since = self.checkpoint_at.or(self.running_since).unwrap_or(now);
        now.since(since)
    }
}
