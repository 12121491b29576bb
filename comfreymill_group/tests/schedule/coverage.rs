use std::collections::BTreeMap;

/// Events that have to occur in a full run; otherwise the run doesn't test them.
const EXPECTED: [&str; 14] = [
    "acknowledged",
    "elections",
    "valid leases",
    "overwritten",
    "installed",
    "changes",
    "promotions",
    "added voters",
    "transfers",
    "lost writes",
    "lost disks",
    "refused disks",
    "stalls",
    "removed",
];

/// Number of occurrences of each event in the schedules.
#[derive(Clone, Debug, Default)]
pub(crate) struct Coverage {
    counts: BTreeMap<&'static str, u64>,
}

impl Coverage {
    /// Adds `more` occurrences of `name`.
    pub(crate) fn count(&mut self, name: &'static str, more: u64) {
        debug_assert!(EXPECTED.contains(&name));
        *self.counts.entry(name).or_insert(0) += more;
    }

    /// Returns the number of occurrences of `name`.
    pub(crate) fn get(&self, name: &str) -> u64 {
        self.counts.get(name).copied().unwrap_or(0)
    }

    /// Adds the counts of another schedule.
    pub(crate) fn add(&mut self, other: &Self) {
        for (name, count) in &other.counts {
            self.count(name, *count);
        }
    }

    /// Returns the expected events that never occurred.
    pub(crate) fn missing(&self) -> Vec<&'static str> {
        EXPECTED.into_iter().filter(|name| self.get(name) == 0).collect()
    }
}
