use comfreymill_types::time;

use crate::id;
use crate::worker;

/// Pace of a run whose last order was not taken, or that an earlier leader started.
pub(super) const UNKNOWN_PACE: u32 = u32::MAX;

/// Run that a worker was told to start, or was found to have.
#[derive(Clone, Debug)]
pub(super) struct RunEntry {
    /// Number of the run.
    pub(super) run: id::Run,
    /// How far it is.
    pub(super) phase: RunPhase,
    /// What it takes of the worker.
    pub(super) reserved: worker::Resources,
    /// Processor time that it uses at full speed, in thousandths of a core.
    pub(super) cpu_milli: u32,
    /// Whether a start of it may still be carried out although it was answered otherwise.
    pub(super) is_uncertain: bool,
    /// Share at which it works, in percent.
    pub(super) pace: u32,
    /// Newest checkpoint that the worker listed.
    pub(super) checkpoint: String,
    /// Newest load that the worker listed.
    pub(super) load: Option<u32>,
    /// Progress that the worker listed.
    pub(super) percent: u32,
    /// Logarithm of its tail without fillers, as a multiple of its target.
    pub(super) alone: Option<f64>,
    /// Since when it works at a low pace.
    pub(super) slowed_since: Option<time::Monotonic>,
    /// When its tail went over its target, if it is over it.
    pub(super) over_since: Option<time::Monotonic>,
    /// When the progress last changed.
    pub(super) moved_at: time::Monotonic,
}

/// How far a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunPhase {
    /// The start is under way.
    Starting,
    /// The worker has it.
    Running {
        /// When that was known.
        since: time::Monotonic,
    },
    /// It is being stopped.
    Stopping {
        /// When the stop was last sent.
        sent_at: time::Monotonic,
    },
    /// The worker took the stop; the next list shows whether anything was there.
    StopTaken {
        /// When it was taken.
        at: time::Monotonic,
    },
}

impl RunEntry {
    /// Whether a list that was asked for at `asked_at` would show the run if it were there.
    pub(super) fn is_settled(&self, asked_at: time::Monotonic) -> bool {
        match self.phase {
            RunPhase::Starting | RunPhase::Stopping { .. } => false,
            RunPhase::Running { since } => since <= asked_at,
            RunPhase::StopTaken { at } => at <= asked_at,
        }
    }

    /// Whether it is not being stopped.
    pub(super) fn is_wanted(&self) -> bool {
        matches!(self.phase, RunPhase::Starting | RunPhase::Running { .. })
    }
}
