use comfreymill_types::id;
use comfreymill_types::time;

/// State of an unfinished request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RequestState {
    /// The request waits for a slot.
    Queued,
    /// An attempt is running at an executor.
    Running { executor: usize, since: time::Monotonic },
}

/// Request that is queued or running.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) class: usize,
    pub(super) team: id::TeamName,
    pub(super) deadline: time::Monotonic,
    pub(super) unrepeatable: bool,
    /// Number of attempts so far.
    pub(super) attempt: u32,
    pub(super) state: RequestState,
    /// Executor of the previous attempt, which a retry avoids.
    pub(super) avoid: Option<usize>,
}
