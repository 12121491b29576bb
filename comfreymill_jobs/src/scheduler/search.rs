use comfreymill_types::time;

use super::interference::ImageId;
use super::workers::PoolId;
use crate::id;
use crate::job;

/// Search of a worker for a task.
#[derive(Clone, Copy, Debug)]
pub(super) struct Search<'a> {
    /// Time of the search.
    pub(super) now: time::Monotonic,
    /// Pool whose workers run the task.
    pub(super) pool: PoolId,
    /// Task to place.
    pub(super) task: id::TaskId,
    /// Step of the task.
    pub(super) spec: &'a job::StepSpec,
    /// Image of the task.
    pub(super) image: ImageId,
}
