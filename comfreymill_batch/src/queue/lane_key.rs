use comfreymill_types::id;
use comfreymill_types::size;

use crate::catalog;

/// What the tasks of a lane have in common.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct LaneKey {
    pub(crate) team: catalog::TeamIndex,
    pub(crate) class: catalog::ClassIndex,
    /// Declared size; none takes that of the class.
    pub(crate) declared: Option<size::Resources>,
    /// Set for a task that avoids some workers and has the lane to itself.
    pub(crate) alone: Option<id::TaskId>,
}
