//! What every process needs around its tasks: a runtime without `io_uring`, and its end.

mod build;
mod listen;
mod stop;

pub use build::block_on;
pub use listen::{http_limits, listen};
pub use stop::{Stop, stop_on_signals};

/// Life of this process: greater than that of earlier ones on the same VM.
pub fn incarnation() -> comfreymill_types::id::Incarnation {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let micros = since_epoch.map_or(0, |since| since.as_micros());
    comfreymill_types::id::Incarnation::new(u64::try_from(micros).unwrap_or(u64::MAX))
}
