/// How a fake executor behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// Answers in the usual time.
    Healthy,
    /// Takes so many times the usual time from a point on.
    SlowFrom {
        /// When, in microseconds.
        at: u64,
        /// Times the usual time.
        factor: f64,
    },
    /// Answers with status 500 at once from a point on, while its health probe succeeds.
    FailingFrom {
        /// When, in microseconds.
        at: u64,
    },
    /// Refuses connections from a point on; what ran is lost.
    LostFrom {
        /// When, in microseconds.
        at: u64,
    },
    /// Is announced at a point and answers slowly until it has served some requests.
    ColdFrom {
        /// When, in microseconds.
        at: u64,
        /// Requests served until it is warm.
        requests: u32,
        /// Times the usual time while it is cold, growing with the requests at once.
        factor: f64,
    },
}

impl Behaviour {
    /// When it is announced, in microseconds.
    pub fn get_start(self) -> u64 {
        match self {
            Self::ColdFrom { at, .. } => at,
            _ => 0,
        }
    }

    /// Whether it is lost at `now`.
    pub fn is_lost(self, now: u64) -> bool {
        matches!(self, Self::LostFrom { at } if now >= at)
    }

    /// Whether it fails at once at `now`.
    pub fn is_failing(self, now: u64) -> bool {
        matches!(self, Self::FailingFrom { at } if now >= at)
    }
}
