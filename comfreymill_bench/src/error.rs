//! Errors of benchmarks.

use std::io;

/// Reason why a benchmark was aborted.
#[derive(Debug, thiserror::Error)]
pub enum BenchError {
    /// A process could not be started or a file could not be read.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The named state did not occur in time.
    #[error("timed out waiting for {0}")]
    Timeout(String),
    /// The system did not behave as the benchmark requires.
    #[error("{0}")]
    Unexpected(String),
}
