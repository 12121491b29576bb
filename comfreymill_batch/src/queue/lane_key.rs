use comfreymill_types::id;
use comfreymill_types::size;

use crate::catalog;

/// Attributes that all tasks of a lane share.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct LaneKey {
    pub(crate) team: catalog::TeamIndex,
    pub(crate) class: catalog::ClassIndex,
    /// Declared size; `None` means the size of the class.
    pub(crate) declared: Option<size::Resources>,
    /// Set for a task that must not run on some workers and therefore has a lane of its own.
    pub(crate) exclusive_task: Option<id::TaskId>,
}
