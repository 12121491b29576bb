//! What processes use while nobody asks anything of them.

mod measure;
mod usage;

pub use measure::{ProcessUsage, measure};
pub use usage::Usage;
