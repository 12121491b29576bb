use std::time::Duration;

use comfreymill_types::id;
use comfreymill_types::time;

/// Quarantine state of a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Health {
    /// The worker is given tasks.
    Healthy,
    /// The worker is given no tasks until `until`, which is `wait` after the last failure.
    Quarantined { until: time::Monotonic, wait: Duration },
    /// The worker runs one task to find out whether tasks succeed there again.
    Probing { task: id::TaskId, wait: Duration },
}
