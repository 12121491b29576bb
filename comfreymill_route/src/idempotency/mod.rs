//! Coalescing of concurrent requests with the same idempotency key at one entry.
//!
//! The first request with a key runs; later ones with the same content join it and get its answer.
//! The record of a key across all entries is kept by the group, not here.

mod join;
mod joins;

pub use join::Join;
pub use joins::Joins;
