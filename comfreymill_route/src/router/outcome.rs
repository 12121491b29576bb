use std::time::Duration;

/// End of an attempt as observed by the I/O layer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The complete answer was received.
    Answered {
        /// Time from sending the request to the end of the answer.
        latency: Duration,
        /// HTTP status code of the answer.
        status: u16,
    },
    /// No byte of the request was sent, so the request did not run.
    NothingSent,
    /// The executor answered that it did not run the request.
    RefusedByUpstream,
    /// The request was sent and the connection ended before an answer began.
    SentNoAnswer,
    /// The answer began and was truncated.
    CutShort,
    /// The caller disconnected.
    CallerGone,
    /// The deadline passed while the request was running at the executor.
    TimedOut,
}
