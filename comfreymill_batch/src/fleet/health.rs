use std::time::Duration;

use comfreymill_types::id;
use comfreymill_types::time;

/// Whether a worker is trusted with tasks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Health {
    /// Tasks succeed there, or were not tried.
    Sound,
    /// Set aside until `until`.
    Quarantined { until: time::Monotonic, wait: Duration },
    /// One task is tried there.
    Probing { task: id::TaskId, wait: Duration },
}
