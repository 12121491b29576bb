//! Logging of a process through log4rs, which is configured in code.
//!
//! Each line names the part of the process that logs it, which is the target of the log call. Logs
//! go to stderr, to a file that is rotated by size, or as events to stdout. SIGHUP reloads the level
//! from the settings file; other changes require a restart.

mod appender;
mod event;
mod event_queue;
mod logger;
mod logs_handle;
mod reload;

pub use logger::Logger;
pub use logs_handle::{Logs, start};

/// Log target of this module.
const TARGET: &str = "logs";
