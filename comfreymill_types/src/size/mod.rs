//! Amounts of CPU cores, memory and accelerators.

mod byte_size;
mod cores;
mod resources;

pub use byte_size::{ByteSize, ParseByteSizeError};
pub use cores::{Cores, ParseCoresError};
pub use resources::Resources;
