/// When long-running tasks are packed, and what counts as a tight fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PackingConfig {
    from_percent: u32,
    tight_cpu_milli: u32,
}

impl PackingConfig {
    /// Creates parameters with which tasks are packed once `from_percent` percent of a pool's
    /// processors are reserved, on workers where they leave less than `tight_cpu_milli` thousandths
    /// of a core.
    pub const fn new(from_percent: u32, tight_cpu_milli: u32) -> Self {
        Self { from_percent, tight_cpu_milli }
    }

    /// Returns the reserved part of a pool's processors from which tasks are packed, in percent.
    pub const fn get_from_percent(&self) -> u32 {
        self.from_percent
    }

    /// Returns the free processor time below which a worker counts as filled up, in thousandths of
    /// a core.
    pub const fn get_tight_cpu_milli(&self) -> u32 {
        self.tight_cpu_milli
    }
}
