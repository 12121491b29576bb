use comfreymill_types::id;
use comfreymill_types::time;

/// Where a request is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Place {
    /// It waits for a slot.
    Queued,
    /// An attempt is with an executor.
    Running { executor: usize, since: time::Monotonic },
}

/// Request that is not over.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) class: usize,
    pub(super) team: id::TeamName,
    pub(super) deadline: time::Monotonic,
    pub(super) unrepeatable: bool,
    pub(super) attempt: u32,
    pub(super) place: Place,
    /// Executor of the last attempt, which a further one avoids.
    pub(super) avoid: Option<usize>,
}
