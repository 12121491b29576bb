//! Measured values that benchmarks return.

use std::fmt;

/// Named value that was measured in one run.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Figure {
    /// Name of the measured quantity.
    pub name: String,
    /// Measured value, in `unit`.
    pub value: f64,
    /// Unit of the value; empty for a ratio or count without a unit.
    pub unit: String,
    /// Seed of the run.
    pub seed: u64,
}

impl Figure {
    /// Creates a figure.
    pub fn new<N, U>(name: N, value: f64, unit: U, seed: u64) -> Self
    where
        N: Into<String>,
        U: Into<String>,
    {
        Self { name: name.into(), value, unit: unit.into(), seed }
    }
}

impl fmt::Display for Figure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:<58} {:>12.4} {}", self.name, self.value, self.unit)
    }
}
