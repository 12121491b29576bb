//! Error kinds and the table of their HTTP status, run state and exit code.
//!
//! An [`Error`] is a kind with a message and, where known, the field that caused it and a retry
//! delay. [`ErrorKind::get_answer`] is the single source for what callers, upstreams, operators
//! and the command line are told: status, whether the request ran, and exit code.

mod answer;
#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod error;
mod error_kind;
mod run_state;

pub use answer::Answer;
pub use error::Error;
pub use error_kind::{ErrorKind, ParseErrorKindError};
pub use run_state::RunState;
