//! Clients for the `first_day` example, which use the system over its listeners.

mod client;
mod searches;

pub use client::{Client, FirstDayError};
pub use searches::{Latencies, Searches};
