use hdrhistogram::Histogram;

const MAX_MICROS: u64 = 60_000_000;

/// Counts and latencies of one simulation.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Number of requests that arrived.
    pub requests: u64,
    /// Number of attempts sent to executors.
    pub attempts: u64,
    /// Number of complete successful answers.
    pub answered: u64,
    /// Number of complete successful answers within the deadline.
    pub in_time: u64,
    /// Number of errors other than refusals before the request ran.
    pub errors: u64,
    /// Number of attempts sent to executors in another region.
    pub crossings: u64,
    /// Number of requests refused without having run.
    pub refused: u64,
    /// Time from arrival to a complete successful answer, in microseconds.
    pub latency: Histogram<u64>,
    /// Time from arrival to a refusal, in microseconds.
    pub refusal: Histogram<u64>,
    /// Number of urgent requests that arrived.
    pub urgent: u64,
    /// Number of urgent requests answered within the deadline.
    pub urgent_in_time: u64,
    /// Number of non-urgent requests answered within the deadline for the team with 3 of 4 shares.
    pub in_time_of_three: u64,
    /// Longest time that requests waited at one entry while slots were idle, in microseconds.
    pub longest_waste: u64,
    /// Number of executors that ran more requests at the same time than they have slots.
    pub overruns: u64,
    /// Number of proposed grant changes.
    pub grant_changes: u64,
}

impl Tally {
    pub(super) fn new() -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("the bounds are valid");
        Self {
            requests: 0,
            attempts: 0,
            answered: 0,
            in_time: 0,
            errors: 0,
            crossings: 0,
            refused: 0,
            latency: histogram(),
            refusal: histogram(),
            urgent: 0,
            urgent_in_time: 0,
            in_time_of_three: 0,
            longest_waste: 0,
            overruns: 0,
            grant_changes: 0,
        }
    }

    /// Returns the latency at a percentile, in milliseconds.
    pub fn latency_millis(&self, percentile: f64) -> f64 {
        self.latency.value_at_percentile(percentile) as f64 / 1e3
    }

    /// Returns the time to a refusal at a percentile, in milliseconds.
    pub fn refusal_millis(&self, percentile: f64) -> f64 {
        self.refusal.value_at_percentile(percentile) as f64 / 1e3
    }

    /// Returns the percentage of requests that ended in an error.
    pub fn error_percent(&self) -> f64 {
        100.0 * self.errors as f64 / self.requests.max(1) as f64
    }
}
