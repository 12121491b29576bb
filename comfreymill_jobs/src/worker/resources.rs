use std::ops;

/// Amount of processor time, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in MB.
    pub mem_mb: u32,
    /// Number of accelerators.
    pub gpus: u32,
}

impl Resources {
    /// Returns whether `other` fits into this amount.
    pub const fn covers(&self, other: &Self) -> bool {
        other.cpu_milli <= self.cpu_milli && other.mem_mb <= self.mem_mb && other.gpus <= self.gpus
    }

    /// Returns what is left after subtracting `other`; each component is at least 0.
    #[must_use]
    pub const fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            mem_mb: self.mem_mb.saturating_sub(other.mem_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}

impl ops::AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        self.cpu_milli = self.cpu_milli.saturating_add(other.cpu_milli);
        self.mem_mb = self.mem_mb.saturating_add(other.mem_mb);
        self.gpus = self.gpus.saturating_add(other.gpus);
    }
}
