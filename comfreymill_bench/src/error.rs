//! Errors of benchmarks.

use std::io;

/// Why a benchmark ended early.
#[derive(Debug, thiserror::Error)]
pub enum BenchError {
    /// A process could not be started or a file not be read.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// Something was awaited in vain.
    #[error("{0} was not seen in time")]
    Timeout(String),
    /// The system answered otherwise than the benchmark needs.
    #[error("{0}")]
    Unexpected(String),
}
