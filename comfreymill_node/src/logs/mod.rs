//! Logs of a process, by log4rs with a configuration that is built in code.
//!
//! A line carries its part as a fixed prefix, which is the target of the log call. Everything goes
//! to stderr, or to a file that is rolled by size. SIGHUP reads the level from the settings file
//! again; all else takes a restart.

mod appender;
mod event;
mod event_queue;
mod logger;
mod logs_handle;
mod reload;

pub use logger::Logger;
pub use logs_handle::{Logs, start};

/// Target of the log calls of this module.
const TARGET: &str = "logs";
