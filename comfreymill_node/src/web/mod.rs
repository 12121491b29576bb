//! Common parts of all HTTP listeners: error and JSON answers, headers and bearer tokens.

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
/// Number of the request at the entry, to be passed to `explain`.
pub const REQUEST_HEADER: HeaderName = HeaderName::from_static("comfreymill-request");
/// Team that sends the request.
pub const TEAM_HEADER: HeaderName = HeaderName::from_static("comfreymill-team");
/// Stage to which the request is sent.
pub const STAGE_HEADER: HeaderName = HeaderName::from_static("comfreymill-stage");
/// Time left until the answer is due, with a unit.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("comfreymill-deadline");
/// Key of a request, the same when it is resent.
pub const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// Id of an operator's change, the same when it is resent.
pub const OPERATION_HEADER: HeaderName = HeaderName::from_static("operation-id");
/// Who gives an order, for the records.
pub const OPERATOR_HEADER: HeaderName = HeaderName::from_static("comfreymill-operator");
/// Version that a document replaces.
pub const REPLACES_HEADER: HeaderName = HeaderName::from_static("replaces");
