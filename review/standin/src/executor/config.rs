use std::net::SocketAddr;
use std::time::Duration;

/// Longest lease that an executor accepts.
pub(super) const HOLD_MAX: Duration = Duration::from_millis(6_000);
/// Time for which a member of a gang waits for the others.
pub(super) const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time that a stop takes.
pub(super) const STOP_TIME: Duration = Duration::from_millis(50);
/// Time between heartbeats.
pub(super) const HEARTBEAT: Duration = Duration::from_millis(1_100);
/// Time after which a call without an answer goes to the next node.
pub(super) const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Processors and memory of an executor.
pub(super) const CPU_MILLI: u64 = 16_000;
pub(super) const MEM_MB: u64 = 64_000;

/// What an executor is.
#[derive(Clone, Debug)]
pub(crate) struct Config {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    pub(crate) service: String,
    pub(crate) zone: String,
    pub(crate) labels: Vec<String>,
    /// Nodes that serve control, in the order in which the executor picks them.
    pub(crate) controls: Vec<SocketAddr>,
}
