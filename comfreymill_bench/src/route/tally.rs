use hdrhistogram::Histogram;

const MAX_MICROS: u64 = 60_000_000;

/// What one run counted, after its warm-up.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests that came.
    pub requests: u64,
    /// Attempts that were sent.
    pub attempts: u64,
    /// Whole good answers.
    pub answered: u64,
    /// Whole good answers within the deadline.
    pub in_time: u64,
    /// Errors other than early refusals.
    pub errors: u64,
    /// Answers and attempts that ran in another region.
    pub crossings: u64,
    /// Refusals as not run.
    pub refused: u64,
    /// Time to a whole good answer, in microseconds.
    pub latency: Histogram<u64>,
    /// Time to a refusal, in microseconds.
    pub refusal: Histogram<u64>,
    /// Urgent requests that came.
    pub urgent: u64,
    /// Urgent requests answered within the deadline.
    pub urgent_in_time: u64,
    /// Answers in time of the team with three shares.
    pub in_time_of_three: u64,
    /// Longest time in which requests waited at one entry while slots idled, in microseconds.
    pub longest_waste: u64,
    /// Requests that each slot ran at most, beyond its executor's slots.
    pub overruns: u64,
    /// Grant changes proposed.
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

    /// Latency at a percentile, in milliseconds.
    pub fn latency_millis(&self, percentile: f64) -> f64 {
        self.latency.value_at_percentile(percentile) as f64 / 1e3
    }

    /// Time to refusal at a percentile, in milliseconds.
    pub fn refusal_millis(&self, percentile: f64) -> f64 {
        self.refusal.value_at_percentile(percentile) as f64 / 1e3
    }

    /// Share of requests that ended in an error, in percent.
    pub fn error_percent(&self) -> f64 {
        100.0 * self.errors as f64 / self.requests.max(1) as f64
    }
}
