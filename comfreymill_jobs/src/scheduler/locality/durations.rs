use std::collections::BTreeMap;
use std::time::Duration;

use super::forecast::Opening;

/// Least weight of a new observation in the averages; a busy kind of tasks has a hundred a second.
const MIN_GAIN: f64 = 1.0 / 64.0;
/// Relative deviation assumed before anything was observed.
const PRIOR_DEVIATION: f64 = 0.3;
/// Number of observations that an estimate counts as.
const PRIOR_OBSERVATIONS: f64 = 8.0;
/// Bounds of the correction of an estimate by one observation.
const RATIOS: std::ops::RangeInclusive<f64> = 0.05..=20.0;
/// Largest number of kinds of tasks that are told apart.
const MAX_KINDS: usize = 1_024;

/// Learned durations of tasks, as multiples of their estimates, by kind.
#[derive(Debug, Default)]
pub(super) struct Durations {
    kinds: BTreeMap<String, Correction>,
}

#[derive(Clone, Copy, Debug)]
struct Correction {
    ratio: f64,
    deviation: f64,
    /// Number of observations; the estimate itself counts as some.
    observations: f64,
}

impl Default for Correction {
    fn default() -> Self {
        Self { ratio: 1.0, deviation: PRIOR_DEVIATION, observations: PRIOR_OBSERVATIONS }
    }
}

/// Expected duration of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Expected {
    /// Average.
    pub(super) mean: Duration,
    /// Average deviation from it.
    pub(super) spread: Duration,
}

impl From<Expected> for Opening {
    fn from(expected: Expected) -> Self {
        Self { expected: expected.mean, latest: expected.mean + expected.spread }
    }
}

impl Durations {
    /// Learns from a task of the kind that took `actual` where `estimate` was expected.
    pub(super) fn observe(&mut self, kind: &str, estimate: Duration, actual: Duration) {
        if estimate.is_zero() {
            return;
        }
        let ratio = actual.as_secs_f64() / estimate.as_secs_f64();
        let ratio = ratio.clamp(*RATIOS.start(), *RATIOS.end());
        if !self.kinds.contains_key(kind) && self.kinds.len() >= MAX_KINDS {
            return;
        }
        let known = self.kinds.entry(kind.to_owned()).or_default();
        known.observations += 1.0;
        let gain = (1.0 / known.observations).max(MIN_GAIN);
        known.deviation += gain * ((ratio - known.ratio).abs() - known.deviation);
        known.ratio += gain * (ratio - known.ratio);
    }

    /// Returns what a task of the kind with this estimate is expected to take.
    pub(super) fn expected(&self, kind: &str, estimate: Duration) -> Expected {
        let known = self.kinds.get(kind).copied().unwrap_or_default();
        Expected { mean: estimate.mul_f64(known.ratio), spread: estimate.mul_f64(known.deviation) }
    }
}
