/// Number of requests whose share of retries is available from the start.
const INITIAL_REQUESTS: u64 = 100;

/// Limit on the number of retries relative to the number of requests.
///
/// The share of the first hundred requests is available from the start, so that an entry with
/// little traffic can retry too. Each later request adds its share, up to the same total.
#[derive(Debug)]
pub(super) struct RetryBudget {
    retry_ratio: f64,
    requests: u64,
    tokens: f64,
}

impl RetryBudget {
    pub(super) fn new(retry_ratio: f64) -> Self {
        Self { retry_ratio, requests: 0, tokens: retry_ratio * INITIAL_REQUESTS as f64 }
    }

    /// Adds the share of one request.
    pub(super) fn deposit(&mut self) {
        self.requests += 1;
        if self.requests > INITIAL_REQUESTS {
            self.tokens =
                (self.tokens + self.retry_ratio).min(self.retry_ratio * INITIAL_REQUESTS as f64);
        }
    }

    /// Spends one retry; returns `false` if none is left.
    pub(super) fn try_spend(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}
