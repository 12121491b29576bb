//! Error kinds and the table of their HTTP status, run state and exit code.
//!
//! An [`Error`] is a kind with a message and, where known, the field that caused it and a retry
//! delay. [`ErrorKind::get_properties`] is the single source for what callers, upstreams, operators
//! and the command line are told: status, whether the request ran, and exit code.

#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod error;
mod error_kind;
mod error_properties;
mod run_state;

pub use error::Error;
pub use error_kind::{ErrorKind, ParseErrorKindError};
pub use error_properties::ErrorProperties;
pub use run_state::RunState;
