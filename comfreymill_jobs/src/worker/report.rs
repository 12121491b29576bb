use super::End;
use crate::id;

/// What a worker runs and what has ended there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// When the worker's life began, if it says so.
    pub born_unix_ms: Option<u64>,
    /// Its clock, in milliseconds.
    pub clock_ms: Option<u64>,
    /// Runs in progress.
    pub running: Vec<RunRow>,
    /// Ends that it was not told to forget.
    pub ended: Vec<End>,
}

/// A run in progress.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRow {
    /// Task.
    pub task: id::TaskId,
    /// Run of the task.
    pub run: id::Run,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Share of its work that is done; 100 for a long-running task that is at work.
    pub percent: u32,
    /// Tail of response times in milliseconds for a task that serves, else processor time in use
    /// in thousandths of a core.
    pub load: Option<u32>,
}
