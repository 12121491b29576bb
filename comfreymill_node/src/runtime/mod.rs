//! Common parts of all processes: the runtime without `io_uring`, listeners and the stop signals.

mod build;
mod listen;
mod stop;

pub use build::block_on;
pub use listen::{http_limits, listen};
pub use stop::{Stop, stop_on_signals};

/// Returns the incarnation of this process: the time of day in microseconds since 1970, which is
/// greater than that of earlier processes on the same VM.
pub fn incarnation() -> comfreymill_types::id::Incarnation {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let micros = since_epoch.map_or(0, |since| since.as_micros());
    comfreymill_types::id::Incarnation::new(u64::try_from(micros).unwrap_or(u64::MAX))
}
