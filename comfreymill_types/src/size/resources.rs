use std::fmt;
use std::ops;

use super::{ByteSize, Cores};

/// CPU cores, memory and accelerators that a VM has or a task needs.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, PartialEq, serde::Serialize, serde::Deserialize,
)]
#[serde(deny_unknown_fields, default)]
pub struct Resources {
    /// CPU cores.
    pub cores: Cores,
    /// Memory size.
    pub memory: ByteSize,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Zero of every resource.
    pub const ZERO: Self =
        Self { cores: Cores::from_millis(0), memory: ByteSize::new(0), accelerators: 0 };

    /// Creates amounts from thousandths of a core, bytes of memory and a number of accelerators.
    pub const fn new(core_millis: u64, memory_bytes: u64, accelerators: u32) -> Self {
        Self {
            cores: Cores::from_millis(core_millis),
            memory: ByteSize::new(memory_bytes),
            accelerators,
        }
    }

    /// Returns whether no amount exceeds that of `capacity`.
    pub fn fits_in(&self, capacity: &Self) -> bool {
        self.cores <= capacity.cores
            && self.memory <= capacity.memory
            && self.accelerators <= capacity.accelerators
    }

    /// Returns the larger of both for each resource.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        Self {
            cores: self.cores.max(other.cores),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Subtracts `other` from each resource, clamping at zero.
    #[must_use]
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self::new(
            self.cores.as_millis().saturating_sub(other.cores.as_millis()),
            self.memory.get().saturating_sub(other.memory.get()),
            self.accelerators.saturating_sub(other.accelerators),
        )
    }
}

impl ops::Add for Resources {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self::new(
            self.cores.as_millis().saturating_add(other.cores.as_millis()),
            self.memory.get().saturating_add(other.memory.get()),
            self.accelerators.saturating_add(other.accelerators),
        )
    }
}

impl ops::AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} cores, {}, {} accelerators", self.cores, self.memory, self.accelerators)
    }
}
