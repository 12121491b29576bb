/// What the schedules reached, so that a schedule that reaches nothing is seen.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Coverage {
    pub(super) acknowledged: u64,
    pub(super) elections: u64,
    pub(super) valid_leases: u64,
    pub(super) overwritten: u64,
    pub(super) installed: u64,
    pub(super) changes: u64,
    pub(super) promotions: u64,
    pub(super) transfers: u64,
    pub(super) lost_writes: u64,
    pub(super) lost_disks: u64,
    pub(super) refused_disks: u64,
}

impl Coverage {
    /// Adds what another schedule reached.
    pub(super) fn add(&mut self, mut other: Self) {
        for ((_, total), (_, count)) in self.counts_mut().into_iter().zip(other.counts_mut()) {
            *total += *count;
        }
    }

    /// Names of what was never reached.
    pub(super) fn missing(mut self) -> Vec<&'static str> {
        self.counts_mut()
            .into_iter()
            .filter(|(_, count)| **count == 0)
            .map(|(name, _)| name)
            .collect()
    }

    fn counts_mut(&mut self) -> [(&'static str, &mut u64); 11] {
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
        ]
    }
}
