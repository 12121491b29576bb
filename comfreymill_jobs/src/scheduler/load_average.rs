use std::collections::BTreeMap;

use comfreymill_types::time;

/// Time constant of the averages, in seconds. Request load changes the tail latencies of a job
/// within seconds, and each of its tasks reports about twice a second.
const TIME_CONSTANT_SECONDS: f64 = 0.6;

/// Recent averages over all tasks of a serving job: the logarithm of the tail latency, and the
/// shares of the workers' processors that fillers beside the tasks use.
#[derive(Debug, Default)]
pub(super) struct LoadAverage {
    updated_at: time::Monotonic,
    weight: f64,
    log_tail: f64,
    shares: BTreeMap<usize, f64>,
}

impl LoadAverage {
    /// Reduces the weight of earlier reports.
    pub(super) fn decay(&mut self, now: time::Monotonic) {
        let since = now.since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let factor = (-since / TIME_CONSTANT_SECONDS).exp();
        self.weight *= factor;
        self.log_tail *= factor;
        self.shares.values_mut().for_each(|share| *share *= factor);
    }

    /// Adds the report of one task; `shares` is by position of the filler's image.
    pub(super) fn add(&mut self, log_tail: f64, shares: &[(usize, f64)]) {
        self.weight += 1.0;
        self.log_tail += log_tail;
        for (position, share) in shares {
            *self.shares.entry(*position).or_default() += share;
        }
    }

    /// Returns the number of reports that the averages rest on, weighted by their age.
    pub(super) fn get_weight(&self) -> f64 {
        self.weight
    }

    /// Returns the average logarithm of the tail latency.
    pub(super) fn log_tail(&self) -> f64 {
        self.log_tail / self.weight
    }

    /// Returns the average shares of the fillers, by position.
    pub(super) fn shares(&self) -> impl Iterator<Item = (usize, f64)> {
        self.shares.iter().map(|(position, share)| (*position, share / self.weight))
    }
}
