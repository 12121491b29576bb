/// Descriptors that a scheduler needs for its files, its runtime and its listeners.
const OWN: usize = 32;

/// Shares of a process's descriptors, so that none of its parts can use up those of the others.
///
/// An eighth is left for links to the other processes. Workers take connections in two ways: the
/// leader connects to each for polls and orders, and each keeps one for its announcements.
#[derive(Clone, Copy, Debug)]
pub(super) struct DescriptorBudget {
    /// Bound on connections to workers.
    pub(super) workers: usize,
    /// Bound on connections of workers and operators.
    pub(super) listener: usize,
    /// Bound on connections over the one above that are being refused.
    pub(super) refusals: usize,
}

impl DescriptorBudget {
    /// Divides `descriptors` descriptors.
    pub(super) fn new(descriptors: usize) -> Self {
        let shared = descriptors.saturating_sub(OWN + descriptors / 8);
        let listener = shared * 3 / 7;
        Self { workers: shared - listener, listener, refusals: (listener / 24).clamp(1, 64) }
    }
}
