/// Behaviour of a fake executor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// Answers with the usual service time.
    Healthy,
    /// Is slower by a factor from a point in time on.
    SlowFrom {
        /// Virtual time of the change, in microseconds.
        at: u64,
        /// Factor on the usual service time.
        factor: f64,
    },
    /// Answers with status 500 at once from a point in time on, while its health probe succeeds.
    FailingFrom {
        /// Virtual time of the change, in microseconds.
        at: u64,
    },
    /// Refuses connections from a point in time on, and loses its running requests.
    LostFrom {
        /// Virtual time of the change, in microseconds.
        at: u64,
    },
    /// Is announced at a point in time and answers slowly until it has served some requests.
    ColdFrom {
        /// Virtual time of the change, in microseconds.
        at: u64,
        /// Number of requests until the executor is warm.
        requests: u32,
        /// Factor on the usual service time while the executor is cold and runs 8 requests at the
        /// same time; it is proportionally smaller for fewer requests.
        factor: f64,
    },
}

impl Behaviour {
    /// Returns the virtual time at which the executor is announced, in microseconds.
    pub fn get_start(self) -> u64 {
        match self {
            Self::ColdFrom { at, .. } => at,
            _ => 0,
        }
    }

    /// Returns whether the executor is lost at `now`, in microseconds.
    pub fn is_lost(self, now: u64) -> bool {
        matches!(self, Self::LostFrom { at } if now >= at)
    }

    /// Returns whether the executor fails all requests at `now`, in microseconds.
    pub fn is_failing(self, now: u64) -> bool {
        matches!(self, Self::FailingFrom { at } if now >= at)
    }
}
