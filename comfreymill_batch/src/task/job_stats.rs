use std::collections::BTreeSet;

use crate::catalog;
use crate::fleet;

/// Counts and estimates over the tasks of one job.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobStats {
    /// Number of tasks that are not over.
    pub(crate) tasks: u32,
    /// Number of attempts that finished with success.
    pub(crate) successes: u32,
    /// Workers on which a task of the job failed.
    pub(crate) failed_on: BTreeSet<fleet::WorkerIndex>,
    /// Estimate of what the job's tasks use.
    pub(crate) estimate: catalog::TaskEstimate,
}
