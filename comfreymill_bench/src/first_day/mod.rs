//! What the example of a first day asks of the system, over its listeners.

mod client;
mod searches;

pub use client::{Client, FirstDayError};
pub use searches::{Latencies, Searches};
