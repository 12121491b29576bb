use std::time::Duration;

use crate::figure::Figure;

/// Measured durations.
#[derive(Clone, Debug, Default)]
pub(super) struct Sample {
    millis: Vec<f64>,
}

impl Sample {
    pub(super) fn add(&mut self, span: Duration) {
        self.millis.push(span.as_secs_f64() * 1e3);
    }

    pub(super) fn count(&self) -> usize {
        self.millis.len()
    }

    /// Returns the quantile `share`, from 0 to 1, in milliseconds; NaN for an empty sample.
    pub(super) fn quantile(&self, share: f64) -> f64 {
        let mut sorted = self.millis.clone();
        sorted.sort_by(f64::total_cmp);
        let rank = (sorted.len() as f64 * share).ceil() as usize;
        sorted.get(rank.max(1) - 1).copied().unwrap_or(f64::NAN)
    }

    /// Returns the median, 99th percentile, maximum and count as figures.
    pub(super) fn figures(&self, name: &str, seed: u64) -> Vec<Figure> {
        let quantiles = [("p50", 0.5), ("p99", 0.99), ("worst", 1.0)];
        let mut figures: Vec<_> = quantiles
            .iter()
            .map(|(kind, share)| {
                Figure::new(format!("{name}.{kind}"), self.quantile(*share), "ms", seed)
            })
            .collect();
        figures.push(Figure::new(format!("{name}.count"), self.count() as f64, "times", seed));
        figures
    }
}
