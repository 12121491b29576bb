/// Number of requests whose share of retries is available from the start.
const GIVEN_REQUESTS: u64 = 100;

/// Limit on the number of retries relative to the number of requests.
///
/// The share of the first hundred requests is available from the start, so that an entry with
/// little traffic can retry too. Each later request adds its share, up to the same total.
#[derive(Debug)]
pub(super) struct Budget {
    ratio: f64,
    requests: u64,
    saved: f64,
}

impl Budget {
    pub(super) fn new(ratio: f64) -> Self {
        Self { ratio, requests: 0, saved: ratio * GIVEN_REQUESTS as f64 }
    }

    /// Adds the share of one request.
    pub(super) fn earn(&mut self) {
        self.requests += 1;
        if self.requests > GIVEN_REQUESTS {
            self.saved = (self.saved + self.ratio).min(self.ratio * GIVEN_REQUESTS as f64);
        }
    }

    /// Spends one retry; returns `false` if none is left.
    pub(super) fn take(&mut self) -> bool {
        let fits = self.saved >= 1.0;
        if fits {
            self.saved -= 1.0;
        }
        fits
    }
}
