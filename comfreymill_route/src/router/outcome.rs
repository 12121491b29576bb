use std::time::Duration;

/// How an attempt ended, as the shell saw it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A whole answer came.
    Answered {
        /// Time from sending to the end of the answer.
        latency: Duration,
        /// HTTP status of the answer.
        status: u16,
    },
    /// No byte of the request was sent: it did not run.
    NothingSent,
    /// The executor said that it did not run the request.
    RefusedByUpstream,
    /// The request was sent and the connection ended without an answer.
    SentNoAnswer,
    /// The answer began and was cut short.
    CutShort,
    /// The caller went away.
    CallerGone,
    /// The deadline passed while the request was with the executor.
    TimedOut,
}
