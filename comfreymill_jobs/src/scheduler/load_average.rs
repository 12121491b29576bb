use std::collections::BTreeMap;

use comfreymill_types::time;

/// Time constant of the averages that effects are learned from, in seconds; each task of a job
/// reports about twice a second.
const LEARNING_SECONDS: f64 = 0.4;
/// Time constants of the two averages of the level, in seconds. Their difference shows the trend:
/// request load changes the level within seconds.
const LEVEL_SECONDS: [f64; 2] = [0.4, 1.2];
/// Time for which a falling level is extrapolated, in seconds: until a change of pace that follows
/// the next report takes effect.
const HORIZON_SECONDS: f64 = 0.8;

/// Recent averages over all tasks of a serving job: the slack, the shares of the workers'
/// processors that fillers beside the tasks use, and the level, which is the slack without fillers.
#[derive(Debug, Default)]
pub(super) struct LoadAverage {
    updated_at: time::Monotonic,
    weight: f64,
    slack: f64,
    shares: BTreeMap<usize, f64>,
    levels: [Level; 2],
}

/// Average of the level with one time constant.
#[derive(Debug, Default)]
struct Level {
    weight: f64,
    sum: f64,
}

impl LoadAverage {
    /// Reduces the weight of earlier reports.
    pub(super) fn decay(&mut self, now: time::Monotonic) {
        let since = now.since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let factor = (-since / LEARNING_SECONDS).exp();
        self.weight *= factor;
        self.slack *= factor;
        self.shares.values_mut().for_each(|share| *share *= factor);
        for (level, seconds) in self.levels.iter_mut().zip(LEVEL_SECONDS) {
            let factor = (-since / seconds).exp();
            level.weight *= factor;
            level.sum *= factor;
        }
    }

    /// Adds the report of one task: its slack, the slack that it would have without fillers, and
    /// the shares of the fillers by position of their image.
    pub(super) fn add(&mut self, slack: f64, alone: f64, shares: &[(usize, f64)]) {
        self.weight += 1.0;
        self.slack += slack;
        for (position, share) in shares {
            *self.shares.entry(*position).or_default() += share;
        }
        for level in &mut self.levels {
            level.weight += 1.0;
            level.sum += alone;
        }
    }

    /// Returns the number of reports that the averages rest on, weighted by their age.
    pub(super) fn get_weight(&self) -> f64 {
        self.weight
    }

    /// Returns the average slack.
    pub(super) fn slack(&self) -> f64 {
        self.slack / self.weight
    }

    /// Returns the average shares of the fillers, by position.
    pub(super) fn shares(&self) -> impl Iterator<Item = (usize, f64)> {
        self.shares.iter().map(|(position, share)| (*position, share / self.weight))
    }

    /// Returns the lowest level expected within `HORIZON_SECONDS`.
    pub(super) fn lowest_level(&self) -> f64 {
        let [fast, slow] = &self.levels;
        let (fast, slow) = (fast.sum / fast.weight, slow.sum / slow.weight);
        let [fast_seconds, slow_seconds] = LEVEL_SECONDS;
        let slope = (fast - slow) / (slow_seconds - fast_seconds);
        fast + slope * fast_seconds + slope.min(0.0) * HORIZON_SECONDS
    }
}
