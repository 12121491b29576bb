use comfreymill_types::time;

use super::interference::ImageId;
use crate::id;
use crate::job;
use crate::worker;

/// Pace of a run whose last pace order was not accepted, or that this leader did not start.
pub(super) const UNKNOWN_PACE: u32 = u32::MAX;

/// Run that this leader started on a worker, or that the worker reported.
#[derive(Clone, Debug)]
pub(super) struct RunEntry {
    /// Number of the run.
    pub(super) run: id::Run,
    /// Phase of the run.
    pub(super) phase: RunPhase,
    /// Resources that the run reserves on the worker.
    pub(super) reserved: worker::Resources,
    /// How the run uses the worker.
    pub(super) kind: job::StepKind,
    /// Whether the run lasts until its job is cancelled.
    pub(super) is_long_running: bool,
    /// Image of the task.
    pub(super) image: ImageId,
    /// Upper bound on the tail latency in milliseconds, for a serving task.
    pub(super) tail_target_ms: Option<u32>,
    /// Processor time used at full speed, in thousandths of a core.
    pub(super) cpu_milli: u32,
    /// Whether the start order may or may not have been, or may still be, carried out.
    pub(super) is_start_uncertain: bool,
    /// Whether a report has shown that the worker's incarnation got the start, not the next one.
    pub(super) is_confirmed: bool,
    /// Share of full speed at which the run works, in percent.
    pub(super) pace: u32,
    /// Latest checkpoint that the worker reported; empty if there is none.
    pub(super) checkpoint: String,
    /// Latest load that the worker reported: tail latency in milliseconds for a serving task,
    /// otherwise processor time in use, in thousandths of a core.
    pub(super) load: Option<u32>,
    /// Latest progress that the worker reported, in percent.
    pub(super) percent: u32,
    /// Latest difference of a serving task's slack from what the level of its job and the fillers
    /// beside it explain.
    pub(super) deviation: f64,
    /// Time since which the run works at a low pace.
    pub(super) slowed_since: Option<time::Monotonic>,
    /// Time since which the tail latency may exceed its target.
    pub(super) over_since: Option<time::Monotonic>,
    /// Time at which the progress last changed.
    pub(super) progressed_at: time::Monotonic,
    /// Time at which this leader decided to start the run; `None` if it was reported.
    pub(super) started_at: Option<time::Monotonic>,
}

/// Phase of a run, as the leader knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunPhase {
    /// The start order is in flight.
    Starting,
    /// The worker has it.
    Running {
        /// Time at which the leader learned this.
        since: time::Monotonic,
    },
    /// The stop order is in flight, or the worker did not accept it.
    Stopping {
        /// Time at which the stop order was last sent.
        sent_at: time::Monotonic,
        /// Time at which it is sent again.
        retry_at: time::Monotonic,
    },
    /// The worker accepted the stop order; the next reports show whether the run existed and has
    /// ended.
    StopAccepted {
        /// Time at which the leader learned this.
        at: time::Monotonic,
    },
}

/// Average share of its reserved processor time that a serving task uses, in percent.
const SERVING_USE_PERCENT: u32 = 50;

impl RunEntry {
    /// Creates the entry of a run of a task of `spec`.
    pub(super) fn new(
        run: id::Run,
        phase: RunPhase,
        spec: &job::StepSpec,
        image: ImageId,
        now: time::Monotonic,
    ) -> Self {
        Self {
            run,
            phase,
            reserved: spec.reserved(),
            kind: spec.kind(),
            is_long_running: spec.is_long_running,
            image,
            tail_target_ms: spec.tail_target_ms,
            cpu_milli: spec.needs.cpu_milli,
            is_start_uncertain: false,
            is_confirmed: false,
            pace: 100,
            checkpoint: String::new(),
            load: None,
            percent: 0,
            deviation: 0.0,
            slowed_since: None,
            over_since: None,
            progressed_at: now,
            started_at: (phase == RunPhase::Starting).then_some(now),
        }
    }

    /// Returns the estimated processor time in use, in thousandths of a core.
    pub(super) fn used_cpu(&self) -> i64 {
        let cpu_milli = i64::from(self.cpu_milli);
        match self.kind {
            job::StepKind::Serving => cpu_milli * i64::from(SERVING_USE_PERCENT) / 100,
            job::StepKind::Filler => cpu_milli * i64::from(self.pace.min(100)) / 100,
            job::StepKind::Plain => cpu_milli,
        }
    }

    /// Returns whether a report requested at `asked_at` is certain to show the run if it exists.
    pub(super) fn must_be_reported(&self, asked_at: time::Monotonic) -> bool {
        match self.phase {
            RunPhase::Starting | RunPhase::Stopping { .. } => false,
            RunPhase::Running { since } => since <= asked_at,
            RunPhase::StopAccepted { at } => at <= asked_at,
        }
    }

    /// Returns when this leader learned that the worker had begun the run, which it had started; a start
    /// may take some time to arrive.
    pub(super) fn shown_at(&self) -> Option<time::Monotonic> {
        match self.phase {
            RunPhase::Running { since } => self.started_at.map(|started_at| started_at.max(since)),
            _ => None,
        }
    }

    /// Returns whether the start was accepted, and the run is not being stopped.
    pub(super) fn is_accepted(&self) -> bool {
        matches!(self.phase, RunPhase::Running { .. })
    }

    /// Returns whether the start was accepted before `asked_at`.
    pub(super) fn was_accepted_before(&self, asked_at: time::Monotonic) -> bool {
        matches!(self.phase, RunPhase::Running { since } if since <= asked_at)
    }

    /// Returns whether the run lasts until its job is cancelled and is not being stopped.
    pub(super) fn is_lasting(&self) -> bool {
        self.is_long_running && self.is_active()
    }

    /// Returns whether the run is not being stopped.
    pub(super) fn is_active(&self) -> bool {
        matches!(self.phase, RunPhase::Starting | RunPhase::Running { .. })
    }
}
