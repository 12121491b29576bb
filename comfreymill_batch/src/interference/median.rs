const STEP: f64 = 0.04;
const FIRST_STEP: f64 = 0.5;
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
                let step = STEP.max(FIRST_STEP / f64::from(self.samples));
                let change = ((micros - old) / old).clamp(-step, step);
                old * (1.0 + change * 0.5)
            }
        };
        self.micros = Some(median);
        median
    }
}
