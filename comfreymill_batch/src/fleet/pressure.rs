use comfreymill_types::time;

use crate::config;

/// What a report changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Step {
    /// Nothing.
    Keep,
    /// Disturb the prompt services less.
    Raise,
    /// Give tasks back some speed.
    Relax,
}

/// Reports of a worker's prompt services, counted against the bounds of the hysteresis.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pressure {
    above: u32,
    below: u32,
    stepped_at: Option<time::Monotonic>,
}

impl Pressure {
    /// Counts a report of `slowdown` that was measured at `measured_at`.
    pub(crate) fn observe(
        &mut self,
        slowdown: f64,
        measured_at: time::Monotonic,
        now: time::Monotonic,
        bounds: &config::Hysteresis,
    ) -> Step {
        let stale = self.stepped_at.is_some_and(|at| measured_at < at);
        if stale {
            return Step::Keep;
        }
        if slowdown > bounds.upper {
            self.above += 1;
            self.below = 0;
        } else if slowdown < bounds.lower {
            self.below += 1;
            self.above = 0;
        } else {
            self.above = 0;
            self.below = 0;
        }
        let settled = self.stepped_at.is_none_or(|at| now.since(at) >= bounds.settle);
        if !settled {
            Step::Keep
        } else if self.above >= bounds.raise_after {
            Step::Raise
        } else if self.below >= bounds.relax_after {
            Step::Relax
        } else {
            Step::Keep
        }
    }

    /// Notes that a step was taken.
    pub(crate) fn stepped(&mut self, now: time::Monotonic) {
        self.above = 0;
        self.below = 0;
        self.stepped_at = Some(now);
    }

    /// Whether the last report was above the bounds.
    pub(crate) fn is_high(&self) -> bool {
        self.above > 0
    }
}
