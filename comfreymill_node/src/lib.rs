//! Processes of comfreymill: control, entry and the client of the command line.

pub mod command;
pub mod logs;
pub mod metering;
pub mod peer;
pub mod settings;

mod random;
