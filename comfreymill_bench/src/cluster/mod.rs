//! Clusters of real comfreymill processes on loopback addresses, for tests and benchmarks.
//!
//! Each cluster has its own address in 127.0.0.0/8, so that no outgoing connection takes one of
//! its ports between the port's reservation and its use.

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
