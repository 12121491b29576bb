use super::{End, Unread};
use crate::id;

/// Maximum number of ends in one report; a report with as many may be incomplete.
const MAX_REPORTED_ENDS: usize = 500;

/// Report of the runs in progress on a worker and of the runs that have ended there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Start of the worker's incarnation in milliseconds since the Unix epoch, if it says so.
    pub born_unix_ms: Option<u64>,
    /// Reading of the worker's clock, in milliseconds.
    pub clock_ms: Option<u64>,
    /// Runs in progress.
    pub running: Vec<RunStatus>,
    /// Ends of runs that the worker was not yet told to forget.
    pub ended: Vec<End>,
    /// Rows that cannot be read.
    pub unread: Unread,
}

impl Report {
    /// Returns whether the worker may have more ends than the report shows.
    pub(crate) fn is_full(&self) -> bool {
        self.ended.len() + self.unread.len() >= MAX_REPORTED_ENDS
    }

    /// Returns whether the report shows a run, in progress or ended.
    pub(crate) fn shows(&self, task: id::TaskId, run: id::Run) -> bool {
        self.running.iter().any(|status| status.task == task && status.run == run)
            || self.ended.iter().any(|end| end.task == task && end.run == run)
    }
}

/// Status of a run in progress.
#[derive(Clone, Debug, PartialEq)]
pub struct RunStatus {
    /// Task that runs.
    pub task: id::TaskId,
    /// Number of the run.
    pub run: id::Run,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Progress in percent; 100 for a long-running task that is up.
    pub percent: u32,
    /// Tail latency in milliseconds for a serving task, otherwise processor time in use, in
    /// thousandths of a core.
    pub load: Option<u32>,
}
