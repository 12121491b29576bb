use std::collections::BTreeMap;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::{InterferenceModel, Kind};
use crate::figure::Figure;

const REQUESTS_PER_WORKER_AND_SECOND: usize = 2;
const SIGMA: f64 = 0.5;
const Z_99: f64 = 2.326;

/// Measurements of one simulation of a policy.
#[derive(Debug, Default)]
pub(super) struct Measures {
    latencies: Vec<f64>,
    alone: Vec<f64>,
    /// Core-seconds of work done.
    pub(super) work: f64,
    /// Core-seconds of work done and lost again, since no checkpoint covers them.
    pub(super) lost: f64,
    /// Part of `lost` that is due to evictions.
    pub(super) lost_to_evictions: f64,
    pub(super) evictions: u64,
    pub(super) throttles: u64,
    pub(super) finished: u64,
    pub(super) failures: u64,
    pub(super) parked: u64,
    pub(super) seconds: f64,
    pub(super) waits: BTreeMap<&'static str, Vec<f64>>,
}

impl Measures {
    /// Draws the latencies of requests to a service with this slowdown.
    pub(super) fn observe_requests(&mut self, second: f64, slowdown: f64, rng: &mut ChaCha8Rng) {
        for _ in 0..REQUESTS_PER_WORKER_AND_SECOND {
            let sum: f64 = (0..12).map(|_| rng.random_range(0.0..1.0)).sum();
            let alone =
                InterferenceModel::alone_micros(second) * (SIGMA * (sum - 6.0 - Z_99)).exp();
            self.alone.push(alone);
            self.latencies.push(alone * slowdown);
        }
    }

    /// Resets everything but the waits, at the end of the warm-up.
    pub(super) fn restart(&mut self) {
        let waits = std::mem::take(&mut self.waits);
        *self = Self { waits, ..Self::default() };
    }

    pub(super) fn observe_wait(&mut self, kind: Kind, seconds: f64) {
        self.waits.entry(kind.as_str()).or_default().push(seconds);
    }

    /// Returns the figures, with names that begin with `prefix`.
    pub(super) fn figures(mut self, prefix: &str, seed: u64) -> Vec<Figure> {
        let tail = quantile(&mut self.latencies, 0.99) / quantile(&mut self.alone, 0.99);
        let throughput = (self.work - self.lost) / self.seconds;
        let mut figures = Vec::new();
        let mut add = |name: &str, value: f64, unit| {
            figures.push(Figure::new(format!("{prefix}.{name}"), value, unit, seed));
        };
        add("tail_latency_relative_to_alone", tail, "times");
        add("batch_throughput", throughput, "cores");
        add("evictions", self.evictions as f64, "count");
        add("throttles", self.throttles as f64, "count");
        add("work_lost_to_evictions", self.lost_to_evictions, "core s");
        add("work_lost", self.lost, "core s");
        add("tasks_finished", self.finished as f64, "count");
        add("attempts_failed", self.failures as f64, "count");
        add("tasks_parked", self.parked as f64, "count");
        for (kind, waits) in &mut self.waits {
            add(&format!("wait_{kind}_median"), quantile(waits, 0.5), "s");
            add(&format!("wait_{kind}_p99"), quantile(waits, 0.99), "s");
            add(&format!("wait_{kind}_max"), quantile(waits, 1.0), "s");
        }
        figures
    }
}

fn quantile(values: &mut [f64], q: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    values[((values.len() - 1) as f64 * q).round() as usize]
}
