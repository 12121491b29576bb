//! Processes of comfreymill (control, entry, gateway and scheduler) and its command line.

pub mod clock;
pub mod command;
pub mod control;
pub mod embedded;
pub mod entry;
pub mod gateway;
pub mod jobcall;
pub mod logs;
pub mod metering;
pub mod peer;
pub mod protocol;
pub mod runtime;
pub mod scheduler;
pub mod settings;
pub mod web;

mod proposals;
mod random;
mod seeds;
