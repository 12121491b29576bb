use std::time::Duration;

use comfreymill_types::size;

/// Number of samples after which the mean ratios become exponential averages.
const MAX_SAMPLE_WEIGHT: f64 = 20.0;
const MAX_RATIO: f64 = 4.0;
/// Weight of the latest run time in the exponential average.
const RUN_TIME_SMOOTHING: f64 = 0.1;

/// Estimates of resource use and run time, learned from the tasks of one class or job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TaskEstimate {
    cores_ratio: f64,
    memory_ratio: f64,
    samples: f64,
    run_time: Option<Duration>,
}

impl Default for TaskEstimate {
    fn default() -> Self {
        Self { cores_ratio: 1.0, memory_ratio: 1.0, samples: 0.0, run_time: None }
    }
}

impl TaskEstimate {
    /// Updates the ratio of measured to declared resources with one task's use.
    pub(crate) fn observe_use(&mut self, declared: &size::Resources, used: &size::Resources) {
        let cores = ratio(used.cores.as_millis(), declared.cores.as_millis());
        let memory = ratio(used.memory.get(), declared.memory.get());
        self.samples = (self.samples + 1.0).min(MAX_SAMPLE_WEIGHT);
        self.cores_ratio += (cores - self.cores_ratio) / self.samples;
        self.memory_ratio += (memory - self.memory_ratio) / self.samples;
    }

    /// Updates the run time with that of a finished attempt.
    pub(crate) fn observe_run_time(&mut self, span: Duration) {
        let old = self.run_time.unwrap_or(span).as_secs_f64();
        let new = old + RUN_TIME_SMOOTHING * (span.as_secs_f64() - old);
        self.run_time = Some(Duration::from_secs_f64(new));
    }

    /// Returns whether any resource use was measured.
    pub(crate) fn is_known(&self) -> bool {
        self.samples > 0.0
    }

    /// Returns the average run time, once an attempt has finished.
    pub(crate) fn get_run_time(&self) -> Option<Duration> {
        self.run_time
    }

    /// Returns the size to reserve for a task: the declared one scaled by the learned ratios, and
    /// never less than declared.
    pub(crate) fn size(&self, declared: &size::Resources) -> size::Resources {
        size::Resources::new(
            grow(declared.cores.as_millis(), self.cores_ratio),
            grow(declared.memory.get(), self.memory_ratio),
            declared.accelerators,
        )
    }
}

fn ratio(used: u64, declared: u64) -> f64 {
    if declared == 0 { 1.0 } else { (used as f64 / declared as f64).min(MAX_RATIO) }
}

fn grow(declared: u64, ratio: f64) -> u64 {
    (declared as f64 * ratio.max(1.0)).round() as u64
}
