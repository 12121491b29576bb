use std::time::Duration;

use comfreymill_types::time;

/// Time for which the load has to stay low before the level falls.
const CALM_TIME: Duration = Duration::from_millis(500);
/// Share of a bound below which the load counts as low.
const CALM_SHARE: u32 = 2;
/// Time over which callers that are refused are spread when they return.
const RETURN_SPREAD: Duration = Duration::from_secs(3);

/// Bounds on the wait of inputs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Wait after which work is put off that nobody waits for.
    pub defer_after: Duration,
    /// Wait after which new jobs are refused.
    pub refuse_after: Duration,
}

/// What a leader does about its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// All work is done.
    Normal,
    /// Polls of idle workers are put off.
    Deferring,
    /// New jobs are refused as well.
    Refusing,
}

impl Level {
    /// Returns the label of the level in metrics and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Normal => "normal",
            Self::Deferring => "deferring",
            Self::Refusing => "refusing",
        }
    }
}

/// Decides what a leader puts off or refuses.
///
/// **Load pattern:** more inputs arrive than the leader can handle, for longer than a burst. Each
/// accepted job then makes all others later, until none is of use to its caller. So what nobody
/// waits for is put off first. Then new jobs are refused, at once and truthfully, before those that
/// were accepted suffer. Agreement, cancellations, departures and reports are never refused.
#[derive(Clone, Copy, Debug)]
pub struct Overload {
    bounds: Option<Bounds>,
    level: Level,
    /// Since when the load has been low for the level.
    calm_since: Option<time::Monotonic>,
    wait: Duration,
}

impl Overload {
    /// Creates the decision; without bounds nothing is ever put off or refused.
    #[must_use]
    pub fn new(bounds: Option<Bounds>) -> Self {
        Self { bounds, level: Level::Normal, calm_since: None, wait: Duration::ZERO }
    }

    /// Returns the current level.
    #[must_use]
    pub fn level(&self) -> Level {
        self.level
    }

    /// Updates the level by the longest wait of an input; returns the level if it has changed.
    pub fn update(&mut self, now: time::Monotonic, wait: Duration) -> Option<Level> {
        let bounds = self.bounds?;
        self.wait = wait;
        let reached = if wait >= bounds.refuse_after {
            Level::Refusing
        } else if wait >= bounds.defer_after {
            Level::Deferring
        } else {
            Level::Normal
        };
        if reached > self.level {
            self.calm_since = None;
            self.level = reached;
            return Some(reached);
        }
        let (bound, below) = match self.level {
            Level::Normal => return None,
            Level::Deferring => (bounds.defer_after, Level::Normal),
            Level::Refusing => (bounds.refuse_after, Level::Deferring),
        };
        if wait > bound / CALM_SHARE {
            self.calm_since = None;
            return None;
        }
        let calm_since = *self.calm_since.get_or_insert(now);
        if now.since(calm_since) < CALM_TIME {
            return None;
        }
        self.calm_since = None;
        self.level = below;
        Some(below)
    }

    /// Returns when a caller that is refused now should return; `spread` is a number from 0 to 1,
    /// evenly distributed over callers.
    #[must_use]
    pub fn retry_after(&self, spread: f64) -> Duration {
        CALM_TIME.max(self.wait) + RETURN_SPREAD.mul_f64(spread.clamp(0.0, 1.0))
    }
}
