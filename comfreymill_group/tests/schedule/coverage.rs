use std::collections::BTreeMap;

/// What schedules have to reach; one that reaches nothing proves nothing.
const EXPECTED: [&str; 13] = [
    "acknowledged",
    "elections",
    "valid leases",
    "overwritten",
    "installed",
    "changes",
    "promotions",
    "transfers",
    "lost writes",
    "lost disks",
    "refused disks",
    "stalls",
    "removed",
];

/// Counts of what schedules reached.
#[derive(Clone, Debug, Default)]
pub(crate) struct Coverage {
    counts: BTreeMap<&'static str, u64>,
}

impl Coverage {
    /// Counts `more` of `name`.
    pub(crate) fn count(&mut self, name: &'static str, more: u64) {
        debug_assert!(EXPECTED.contains(&name));
        *self.counts.entry(name).or_insert(0) += more;
    }

    /// Count of `name`.
    pub(crate) fn get(&self, name: &str) -> u64 {
        self.counts.get(name).copied().unwrap_or(0)
    }

    /// Adds what another schedule reached.
    pub(crate) fn add(&mut self, other: &Self) {
        for (name, count) in &other.counts {
            self.count(name, *count);
        }
    }

    /// Names of what was never reached.
    pub(crate) fn missing(&self) -> Vec<&'static str> {
        EXPECTED.into_iter().filter(|name| self.get(name) == 0).collect()
    }
}
