use super::ExecutorView;

/// Executors of one group, whole: one that is missing is gone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Table {
    /// Number of the group that the table comes from.
    pub source: u32,
    /// Version that rises over the leaders of the group; an older table is ignored.
    pub version: u64,
    /// Executors announced to the group.
    pub executors: Vec<ExecutorView>,
}
