//! Tests of the processes' parts.

mod command;
mod logs;
mod metering;
mod scratch;
mod settings;
