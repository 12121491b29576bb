const QUANTILE: f64 = 0.3;
const STEP: f64 = 0.04;
const MIN_MICROS: f64 = 1.0;

/// Latency of a service that no task disturbs, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Baseline {
    micros: Option<f64>,
}

impl Baseline {
    /// Takes in a latency that was freed of its expected slowdown.
    pub(crate) fn observe(&mut self, micros: f64) {
        let micros = micros.max(MIN_MICROS);
        let Some(old) = self.micros else {
            self.micros = Some(micros);
            return;
        };
        let direction = if micros < old { QUANTILE - 1.0 } else { QUANTILE };
        self.micros = Some((old * (1.0 + STEP * direction)).max(MIN_MICROS));
    }

    /// Microseconds, once one report came.
    pub(crate) fn get(&self) -> Option<f64> {
        self.micros
    }
}
