//! Coalescing of concurrent requests with the same idempotency key at one entry.
//!
//! The first request with a key runs; later ones with the same content join it and get its answer.
//! The record of a key across all entries is kept by the group, not here.

mod in_flight_keys;
mod key_admission;

pub use in_flight_keys::InFlightKeys;
pub use key_admission::KeyAdmission;
