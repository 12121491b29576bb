use comfreymill_route::router;

use super::Behaviour;

/// Executors, load and faults of one simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name of the scenario in figures.
    pub name: String,
    /// Behaviour of each executor in the entries' region.
    pub executors: Vec<Behaviour>,
    /// Number of executors in the other region.
    pub remote_executors: usize,
    /// Relative weight of each entry's load.
    pub entry_weights: Vec<f64>,
    /// Load as a fraction of the capacity of the slots in the entries' region.
    pub load: f64,
    /// Duration after the warm-up, in microseconds of virtual time.
    pub length: u64,
    /// Policy by which executors are chosen.
    pub policy: router::Policy,
    /// Whether outliers are ejected.
    pub ejection: bool,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl Scenario {
    /// Creates a scenario with 20 healthy executors at half load, spread over four entries.
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

    /// Sets the policy. Only the default policy, least loaded, ejects outliers.
    #[must_use]
    pub fn policy(mut self, policy: router::Policy) -> Self {
        self.policy = policy;
        self.ejection = policy == router::Policy::LeastLoaded;
        self
    }

    /// Sets the load as a fraction of the slots' capacity.
    #[must_use]
    pub fn load(mut self, load: f64) -> Self {
        self.load = load;
        self
    }

    /// Sets the behaviour of the first `count` executors.
    #[must_use]
    pub fn first(mut self, count: usize, behaviour: Behaviour) -> Self {
        self.executors[..count].fill(behaviour);
        self
    }

    /// Sets the relative weight of each entry's load.
    #[must_use]
    pub fn entry_weights(mut self, weights: Vec<f64>) -> Self {
        self.entry_weights = weights;
        self
    }

    /// Sets the number of executors in the other region.
    #[must_use]
    pub fn remote_executors(mut self, count: usize) -> Self {
        self.remote_executors = count;
        self
    }
}
