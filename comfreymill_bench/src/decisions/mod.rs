//! Cost of the decisions of a scheduler that leads, without network.

mod cost;
mod leader;
mod load;

pub use cost::cost;
