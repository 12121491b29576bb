use std::time::Duration;

/// Time within which a group usually has its next leader after it has lost one.
const USUAL_ELECTION: Duration = Duration::from_millis(1_200);
/// Maximum time for which a group that has no leader is expected to have none further on.
const MAX_EXPECTED: Duration = Duration::from_secs(4);
/// Time over which callers that are refused at once are spread when they return.
const SPREAD: Duration = Duration::from_secs(2);

/// What to do with a call while no leader is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Patience {
    /// Wait for a leader, at most this long.
    Wait(Duration),
    /// Give up, since no leader is expected before the caller's deadline.
    GiveUp {
        /// When the caller should send the request again.
        retry_after: Duration,
    },
}

impl Patience {
    /// Decides about a call that may wait for `remaining`, when no leader has been known for
    /// `leaderless`. `spread` is a number from 0 to 1, evenly distributed over callers.
    ///
    /// **Load pattern:** the leader is lost and many callers wait. Those whose deadlines pass before
    /// the next leader is there get nothing for their wait, so they are told at once when to return,
    /// at different times. A group that elects takes the usual time; one that has been without a
    /// leader for longer is expected to stay so for as long again.
    #[must_use]
    pub fn decide(leaderless: Duration, remaining: Duration, spread: f64) -> Self {
        let expected = if leaderless < USUAL_ELECTION {
            USUAL_ELECTION - leaderless
        } else {
            leaderless.min(MAX_EXPECTED)
        };
        if remaining >= expected {
            return Self::Wait(remaining);
        }
        Self::GiveUp { retry_after: expected + SPREAD.mul_f64(spread.clamp(0.0, 1.0)) }
    }
}
