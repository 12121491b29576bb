use comfreymill_types::size;

/// Smallest step of cores, in thousandths of a core.
const FINEST_CORE_MILLIS: u64 = 250;
const FINEST_MEMORY_BYTES: u64 = 256 << 20;

/// Range of free resources, on a logarithmic scale per resource; a greater level means more.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Bucket {
    pub(crate) accelerators: u8,
    pub(crate) cores: u8,
    pub(crate) memory: u8,
}

impl Bucket {
    /// Returns the bucket that `room` falls into.
    pub(crate) fn of(room: &size::Resources) -> Self {
        Self {
            accelerators: u8::try_from(room.accelerators.min(8)).unwrap_or(8),
            cores: level(room.cores.as_millis() / FINEST_CORE_MILLIS),
            memory: level(room.memory.get() / FINEST_MEMORY_BYTES),
        }
    }

    /// Returns whether a worker in this bucket may have room for a size in bucket `need`.
    pub(crate) fn may_hold(self, need: Self) -> bool {
        self.accelerators >= need.accelerators
            && self.cores >= need.cores
            && self.memory >= need.memory
    }
}

/// Returns the level of `units`: 0 for none, then two levels per doubling.
fn level(units: u64) -> u8 {
    if units == 0 {
        return 0;
    }
    let octave = units.ilog2();
    let upper_half = units >= (3 << octave) / 2 && octave > 0;
    (1 + 2 * octave) as u8 + u8::from(upper_half)
}
