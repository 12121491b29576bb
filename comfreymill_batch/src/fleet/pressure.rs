use comfreymill_types::time;

use crate::config;

/// Change of the response to slow prompt services, after a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Step {
    /// No change.
    Keep,
    /// Slow or evict a task, so that the prompt services are disturbed less.
    Raise,
    /// Speed up a throttled task.
    Relax,
}

/// Number of consecutive reports about a worker's prompt services beyond each hysteresis bound.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pressure {
    above: u32,
    below: u32,
    stepped_at: Option<time::Monotonic>,
}

impl Pressure {
    /// Counts a report of `slowdown` that was measured at `measured_at`. A report measured before
    /// the last step is ignored, as it does not show the effect of that step.
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

    /// Resets the counts after a step was taken at `now`.
    pub(crate) fn record_step(&mut self, now: time::Monotonic) {
        self.above = 0;
        self.below = 0;
        self.stepped_at = Some(now);
    }

    /// Returns whether the last counted report was above the upper bound.
    pub(crate) fn is_high(&self) -> bool {
        self.above > 0
    }
}
