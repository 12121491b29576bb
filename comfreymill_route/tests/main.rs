//! Tests of the decisions about prompt requests.

mod cluster;
mod grant;
mod idempotency;
mod router;
mod support;
