use comfreymill_types::size;

/// Team with its quota, its fair-share weight and the resources that its tasks reserve.
#[derive(Clone, Debug)]
pub(crate) struct TeamEntry {
    pub(crate) quota: Option<size::Resources>,
    pub(crate) share: u32,
    pub(crate) used: size::Resources,
}

impl TeamEntry {
    pub(crate) fn new() -> Self {
        Self { quota: None, share: 1, used: size::Resources::ZERO }
    }

    /// Returns whether the quota allows `more` on top of what is used.
    pub(crate) fn has_quota_for(&self, more: &size::Resources) -> bool {
        self.quota.is_none_or(|quota| (self.used + *more).fits_in(&quota))
    }

    /// Returns the team's dominant share of the fleet (the largest fraction over all resources),
    /// divided by its fair-share weight.
    pub(crate) fn get_weighted_share(&self, fleet: &size::Resources) -> f64 {
        let cores = fraction(self.used.cores.as_millis(), fleet.cores.as_millis());
        let memory = fraction(self.used.memory.get(), fleet.memory.get());
        let accelerators = fraction(self.used.accelerators.into(), fleet.accelerators.into());
        cores.max(memory).max(accelerators) / f64::from(self.share.max(1))
    }
}

fn fraction(used: u64, total: u64) -> f64 {
    if total == 0 { 0.0 } else { used as f64 / total as f64 }
}
