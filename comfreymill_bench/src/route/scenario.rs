use comfreymill_route::router;

use super::Behaviour;

/// Executors, load and faults of a run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name in figures.
    pub name: String,
    /// Behaviour of each executor of the own region.
    pub executors: Vec<Behaviour>,
    /// Executors of the other region.
    pub remote_executors: usize,
    /// Part of the load that each entry takes.
    pub entry_weights: Vec<f64>,
    /// Load as a share of the own region's slots.
    pub load: f64,
    /// Length after the warm-up, in microseconds.
    pub length: u64,
    /// How executors are chosen.
    pub policy: router::Policy,
    /// Whether outliers are ejected.
    pub ejection: bool,
    /// Seed of the run.
    pub seed: u64,
}

impl Scenario {
    /// Twenty healthy executors under half load over four entries.
    pub fn new<N>(name: N, seed: u64) -> Self
    where
        N: Into<String>,
    {
        Self {
            name: name.into(),
            executors: vec![Behaviour::Healthy; 20],
            remote_executors: 0,
            entry_weights: vec![1.0; 4],
            load: 0.5,
            length: 20_000_000,
            policy: router::Policy::LeastLoaded,
            ejection: true,
            seed,
        }
    }

    /// Sets the policy; a baseline runs without ejection.
    #[must_use]
    pub fn policy(mut self, policy: router::Policy) -> Self {
        self.policy = policy;
        self.ejection = policy == router::Policy::LeastLoaded;
        self
    }

    /// Sets the load as a share of the slots.
    #[must_use]
    pub fn load(mut self, load: f64) -> Self {
        self.load = load;
        self
    }

    /// Sets the behaviour of the first executors.
    #[must_use]
    pub fn first(mut self, count: usize, behaviour: Behaviour) -> Self {
        self.executors[..count].fill(behaviour);
        self
    }

    /// Sets the part of the load that each entry takes.
    #[must_use]
    pub fn entry_weights(mut self, weights: Vec<f64>) -> Self {
        self.entry_weights = weights;
        self
    }

    /// Adds executors of another region.
    #[must_use]
    pub fn remote_executors(mut self, count: usize) -> Self {
        self.remote_executors = count;
        self
    }
}
