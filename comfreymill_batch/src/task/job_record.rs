use std::collections::BTreeSet;

use crate::catalog;
use crate::fleet;

/// What is known of how the tasks of one job end.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobRecord {
    /// Tasks that are not over.
    pub(crate) tasks: u32,
    /// Tasks that finished.
    pub(crate) successes: u32,
    /// Workers on which a task failed.
    pub(crate) failed_on: BTreeSet<fleet::WorkerIndex>,
    /// What its tasks use.
    pub(crate) learned: catalog::Learned,
}
