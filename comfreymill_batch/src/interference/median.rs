/// Bound on the relative difference from the median that one latency counts with.
const MAX_DIFFERENCE: f64 = 0.04;
/// The same bound for the first latencies, divided by their number.
const FIRST_MAX_DIFFERENCE: f64 = 0.5;
const MIN_MICROS: f64 = 1.0;

/// Running median of a service's latency over all workers, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Median {
    micros: Option<f64>,
    samples: u32,
}

impl Median {
    /// Updates the median with one latency and returns it.
    pub(crate) fn observe(&mut self, micros: f64) -> f64 {
        let micros = micros.max(MIN_MICROS);
        self.samples = self.samples.saturating_add(1);
        let median = match self.micros {
            None => micros,
            Some(old) => {
                let bound = MAX_DIFFERENCE.max(FIRST_MAX_DIFFERENCE / f64::from(self.samples));
                let difference = ((micros - old) / old).clamp(-bound, bound);
                old * (1.0 + difference * 0.5)
            }
        };
        self.micros = Some(median);
        median
    }
}
