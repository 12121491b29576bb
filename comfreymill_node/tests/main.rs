//! Tests of the modules of `comfreymill_node`.

mod command;
mod jobcall;
mod listeners;
mod logs;
mod membership;
mod metering;
mod orders;
mod peer;
mod prompt;
mod scratch;
mod settings;
mod turns;
