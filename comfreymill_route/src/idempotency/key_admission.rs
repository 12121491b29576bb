use comfreymill_types::error;

/// Decision about a request with an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyAdmission {
    /// The request runs; later requests with the key join it.
    Run,
    /// The request joined a request that already runs, and gets its answer.
    Joined {
        /// Number of the request that runs.
        run: u64,
    },
    /// The request is refused and was not run.
    Refused(error::Error),
}
