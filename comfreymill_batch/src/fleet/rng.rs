use rand::RngExt as _;
use rand::SeedableRng as _;

/// Seeded random number generator for sampling workers.
#[derive(Clone, Debug)]
pub(crate) struct Rng(rand_chacha::ChaCha8Rng);

impl Rng {
    pub(crate) fn new(seed: u64) -> Self {
        Self(rand_chacha::ChaCha8Rng::seed_from_u64(seed))
    }

    /// Returns a random number below `bound`, which must be at least 1.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        self.0.random_range(0..bound)
    }
}
