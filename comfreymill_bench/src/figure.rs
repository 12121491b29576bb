use std::fmt;

/// One measured figure.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Figure {
    /// What was measured.
    pub name: String,
    /// Measured value.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'static str,
    /// Seed of the run.
    pub seed: u64,
}

impl Figure {
    /// Figure of a run with `seed`.
    pub fn new<N>(name: N, value: f64, unit: &'static str, seed: u64) -> Self
    where
        N: Into<String>,
    {
        Self { name: name.into(), value, unit, seed }
    }
}

impl fmt::Display for Figure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:<56} {:>14.3} {:<10} seed {}", self.name, self.value, self.unit, self.seed)
    }
}
