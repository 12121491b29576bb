use std::net::SocketAddr;
use std::time::Duration;

use super::Resources;
use crate::id;

/// Announcement that a worker sends periodically to describe itself.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Announcement {
    /// Name of the worker.
    pub name: id::WorkerName,
    /// Start of this incarnation of the worker, in milliseconds since the Unix epoch.
    pub born_unix_ms: u64,
    /// Sequence number, which increases with each announcement of an incarnation.
    pub sequence: u64,
    /// Address at which the worker accepts orders.
    pub address: SocketAddr,
    /// Name of the pool that the worker belongs to.
    pub pool: String,
    /// Availability zone of the worker.
    pub zone: String,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Labels of the worker, including its kind and rack.
    pub labels: Vec<String>,
    /// Minimum time until the worker leaves, if it is leaving.
    pub leaving_in: Option<Duration>,
    /// Reading of the worker's clock when it sent the announcement, in milliseconds.
    pub clock_ms: Option<u64>,
    /// Machine that the worker runs on, if it says so.
    pub machine: Option<String>,
}

/// Message that a worker sends when it shuts down.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Departure {
    /// Name of the departing worker.
    pub name: id::WorkerName,
}
