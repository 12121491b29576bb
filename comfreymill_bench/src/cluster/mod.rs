//! A cluster of the product's own processes on loopback addresses, for tests and benchmarks.
//!
//! Every cluster has an address of its own in 127.0.0.0/8, so that no port of it is taken by an
//! outgoing connection between its reservation and its use.

#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod cluster;
mod config;
mod folder;
mod process;
mod relay;
mod relays;
mod settings_text;

pub use cluster::Cluster;
pub use config::ClusterConfig;
pub use process::{EntryAddresses, Process};
pub use relays::{Place, Traffic};
