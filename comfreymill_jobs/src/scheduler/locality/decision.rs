use std::time::Duration;

use super::Choice;
use super::choice::Reason;
use super::forecast::Opening;

/// Longest time for which a task waits in all. Callers take a job for lost whose tasks have not
/// started for 3 s beside free workers.
pub(super) const MAX_WAIT: Duration = Duration::from_millis(2_000);
/// Time that a start takes, from the decision until the worker has begun, kept out of the time that
/// a job has left.
const START_MARGIN: Duration = Duration::from_millis(100);
/// Part of the extra time for which a job that is late in any case waits.
const LATE_DIVISOR: u32 = 4;

/// What is known about a task that has no place on its rack now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Case {
    /// When a place on the rack is expected; `None` if none is in sight.
    pub opening: Option<Opening>,
    /// Extra time that the task takes elsewhere.
    pub extra: Duration,
    /// Deviation of the time that it takes elsewhere.
    pub spread: Duration,
    /// Time for which a start on the rack may be put off without making the job late; `None` if it
    /// is late already.
    pub slack: Option<Duration>,
    /// Time for which the task has waited for the rack already.
    pub waited: Duration,
}

/// Weighs the wait for a place on the rack against a start elsewhere now.
///
/// - A job that is sure to be in time elsewhere only waits until its last chance there.
/// - A job that may or may not be in time elsewhere only waits if it is sure to be in time on the
///   rack.
/// - A job that is late elsewhere waits as long as it is in time on the rack.
/// - A job that is late on the rack as well only waits briefly, since jobs that come later but are in
///   time go before it.
///
/// A wait begins only if even one that takes long is shorter than the extra time, and is given up
/// once it is not on average. The waits of a task never exceed the extra time in all, unless only
/// the rack is in time.
#[must_use]
pub fn decide(case: &Case) -> Choice {
    let Some(opening) = case.opening else { return Choice::Anywhere(Reason::NoPlace) };
    let needed = if case.waited.is_zero() { opening.latest } else { opening.expected };
    let slack = case.slack.unwrap_or_default().saturating_sub(START_MARGIN);
    match slack.checked_sub(case.extra) {
        Some(elsewhere) if elsewhere > case.spread => {
            within(case, needed, case.extra, elsewhere - case.spread)
        }
        Some(_) if needed + case.spread < slack => within(case, needed, case.extra, slack),
        Some(_) => Choice::Anywhere(Reason::NoTime),
        None if needed < slack => {
            let most = MAX_WAIT.saturating_sub(case.waited).min(slack);
            if needed < most { Choice::Wait(most) } else { Choice::Anywhere(Reason::Waited) }
        }
        None => within(case, needed, case.extra / LATE_DIVISOR, MAX_WAIT),
    }
}

/// Returns a wait if it ends within `left` and within what the task waits for at most.
fn within(case: &Case, needed: Duration, most: Duration, left: Duration) -> Choice {
    let rest = most.min(MAX_WAIT).saturating_sub(case.waited);
    if needed >= most {
        Choice::Anywhere(Reason::NotWorthIt)
    } else if needed >= rest {
        Choice::Anywhere(Reason::Waited)
    } else if needed >= left {
        Choice::Anywhere(Reason::NoTime)
    } else {
        Choice::Wait(rest.min(left))
    }
}
