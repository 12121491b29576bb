//! Tests of the processes' parts.

mod command;
mod logs;
mod metering;
mod peer;
mod prompt;
mod scratch;
mod settings;
