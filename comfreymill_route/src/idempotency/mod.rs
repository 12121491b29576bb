//! Requests with the same idempotency key that are in progress at one entry.
//!
//! The first request of a key runs; later ones with the same content join its run and get its
//! answer. The record of a key over all entries is the group's, not kept here.

mod join;
mod joins;

pub use join::Join;
pub use joins::Joins;
