//! Metrics, operators' commands and system resources of running processes.

mod metrics;
mod operator;
mod system;
