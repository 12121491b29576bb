/// Position of a class in the catalog.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct ClassIndex(pub(crate) u32);

/// Position of a team in the catalog.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct TeamIndex(pub(crate) u32);
