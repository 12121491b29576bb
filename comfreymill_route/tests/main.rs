//! Tests of the decisions about prompt requests.

mod grant;
mod idempotency;
mod router;
mod support;
