/// What the schedules reached, so that a schedule that reaches nothing is seen.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Coverage {
    pub(crate) acknowledged: u64,
    pub(crate) elections: u64,
    pub(crate) valid_leases: u64,
    pub(crate) overwritten: u64,
    pub(crate) installed: u64,
    pub(crate) changes: u64,
    pub(crate) promotions: u64,
    pub(crate) transfers: u64,
    pub(crate) lost_writes: u64,
    pub(crate) lost_disks: u64,
    pub(crate) refused_disks: u64,
    pub(crate) stalls: u64,
    pub(crate) removed: u64,
}

impl Coverage {
    /// Adds what another schedule reached.
    pub(crate) fn add(&mut self, mut other: Self) {
        for ((_, total), (_, count)) in self.counts_mut().into_iter().zip(other.counts_mut()) {
            *total += *count;
        }
    }

    /// Names of what was never reached.
    pub(crate) fn missing(mut self) -> Vec<&'static str> {
        self.counts_mut()
            .into_iter()
            .filter(|(_, count)| **count == 0)
            .map(|(name, _)| name)
            .collect()
    }

    fn counts_mut(&mut self) -> [(&'static str, &mut u64); 13] {
        [
            ("acknowledged", &mut self.acknowledged),
            ("elections", &mut self.elections),
            ("valid_leases", &mut self.valid_leases),
            ("overwritten", &mut self.overwritten),
            ("installed", &mut self.installed),
            ("changes", &mut self.changes),
            ("promotions", &mut self.promotions),
            ("transfers", &mut self.transfers),
            ("lost_writes", &mut self.lost_writes),
            ("lost_disks", &mut self.lost_disks),
            ("refused_disks", &mut self.refused_disks),
            ("stalls", &mut self.stalls),
            ("removed", &mut self.removed),
        ]
    }
}
