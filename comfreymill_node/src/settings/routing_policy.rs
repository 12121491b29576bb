settings_word! {
    /// Rule by which an entry chooses an executor.
    pub enum RoutingPolicy {
        /// Least expected wait, with zone, latency and failures weighed.
        #[default]
        LeastLoaded = "least-loaded",
        /// The less loaded of two drawn at random.
        TwoChoices = "two-choices",
        /// One after the other.
        RoundRobin = "round-robin",
        /// Drawn at random.
        Random = "random",
    }
}
