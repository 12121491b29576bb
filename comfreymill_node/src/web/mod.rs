//! What every HTTP listener of ours shares: answers for errors, JSON and bearer tokens.

mod answers;
mod error_body;
mod observers;
mod token;

pub use answers::{answer_error, answer_json, answer_text, header};
pub use error_body::ErrorBody;
pub use observers::answer_observer;
pub use token::Token;

use http::header::HeaderName;

/// Kind of an error.
pub const ERROR_HEADER: HeaderName = HeaderName::from_static("comfreymill-error");
/// Whether the request was run: `run`, `not-run` or `unknown`.
pub const RUN_HEADER: HeaderName = HeaderName::from_static("comfreymill-run");
/// Number of the request at the entry, for `explain`.
pub const REQUEST_HEADER: HeaderName = HeaderName::from_static("comfreymill-request");
/// Team that asks.
pub const TEAM_HEADER: HeaderName = HeaderName::from_static("comfreymill-team");
/// Stage that is asked.
pub const STAGE_HEADER: HeaderName = HeaderName::from_static("comfreymill-stage");
/// Time left for the answer, with a unit.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("comfreymill-deadline");
/// Key that names a request over its resends.
pub const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// Name of an operator's change over its resends.
pub const OPERATION_HEADER: HeaderName = HeaderName::from_static("operation-id");
/// Version that a document replaces.
pub const REPLACES_HEADER: HeaderName = HeaderName::from_static("replaces");
