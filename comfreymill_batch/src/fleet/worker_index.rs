/// Position of a worker in the fleet.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct WorkerIndex(pub(crate) u32);

/// Position of a prompt service in the interference model.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct ServiceIndex(pub(crate) u32);
