//! Tests of the processes' parts.

mod command;
mod logs;
mod metering;
mod prompt;
mod scratch;
mod settings;
