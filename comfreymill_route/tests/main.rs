//! Tests of routing, admission, grants and request coalescing.

mod cluster;
mod grant;
mod idempotency;
mod router;
mod support;
