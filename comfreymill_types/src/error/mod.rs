//! The closed list of error kinds and the one table that gives each kind's answer.
//!
//! An [`Error`] is a kind with a message and, where known, a field and a time after which to try
//! again. Callers, upstreams, operators and the command line all take their status, their
//! statement on whether the request was run, and their exit code from [`ErrorKind::get_answer`].

mod answer;
#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod error;
mod error_kind;
mod run_state;

pub use answer::Answer;
pub use error::Error;
pub use error_kind::{ErrorKind, ParseErrorKindError};
pub use run_state::RunState;
