//! Replicated state machine; each kind of command has its own file.

mod apply_attempt;
mod apply_document;
mod apply_grant;
mod apply_job;
mod apply_request;
#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod ledger;
mod requests;

pub use ledger::Ledger;
pub use requests::Requests;
