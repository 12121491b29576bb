use super::ExecutorView;

/// Complete table of one group's executors; an executor not listed is removed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Table {
    /// Number of the group that sent the table.
    pub source: u32,
    /// Version, which increases across the group's leaders; an older table is ignored.
    pub version: u64,
    /// Executors that have announced themselves to the group.
    pub executors: Vec<ExecutorView>,
}
