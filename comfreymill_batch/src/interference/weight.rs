/// Slowdown by a full VM's load of a class, with the number of reports behind it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Weight {
    pub(crate) value: f64,
    pub(crate) reports: u32,
}

impl Weight {
    /// Value that is taken until reports come.
    const PRIOR: f64 = 0.2;
}

impl Default for Weight {
    fn default() -> Self {
        Self { value: Self::PRIOR, reports: 0 }
    }
}
