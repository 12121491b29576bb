/// Exponentially weighted moving average and mean absolute deviation of samples.
#[derive(Clone, Debug)]
pub(super) struct Estimate {
    mean: f64,
    deviation: f64,
    samples: u32,
    weight: f64,
}

impl Estimate {
    /// Creates an estimate that starts at `mean` and gives each new sample `weight`, from 0 to 1.
    pub(super) fn new(mean: f64, weight: f64) -> Self {
        Self { mean, deviation: 0.0, samples: 0, weight }
    }

    /// Adds a sample; the first ones get a higher weight, so that they outweigh the start value.
    pub(super) fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = self.weight.max(1.0 / f64::from(self.samples));
        let error = sample - self.mean;
        self.mean += weight * error;
        self.deviation += weight * (error.abs() - self.deviation);
    }

    /// Moves the mean towards `target` by the fraction `share` of the difference.
    pub(super) fn move_towards(&mut self, target: f64, share: f64) {
        self.mean += share * (target - self.mean);
    }

    pub(super) fn get_mean(&self) -> f64 {
        self.mean
    }

    pub(super) fn get_deviation(&self) -> f64 {
        self.deviation
    }

    pub(super) fn get_samples(&self) -> u32 {
        self.samples
    }
}
