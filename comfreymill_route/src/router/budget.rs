const GIVEN_REQUESTS: u64 = 100;

/// Bound on attempts against requests.
///
/// The first hundred requests' share is given at the start, so that a quiet entry can retry too;
/// beyond them each request earns its share. No more than that share is ever saved.
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

    /// Earns the share of one request.
    pub(super) fn earn(&mut self) {
        self.requests += 1;
        if self.requests > GIVEN_REQUESTS {
            self.saved = (self.saved + self.ratio).min(self.ratio * GIVEN_REQUESTS as f64);
        }
    }

    /// Takes one retry, if there is one.
    pub(super) fn take(&mut self) -> bool {
        let fits = self.saved >= 1.0;
        if fits {
            self.saved -= 1.0;
        }
        fits
    }
}
