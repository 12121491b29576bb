//! Processes of comfreymill: control, entry and the client of the command line.

pub mod clock;
pub mod control;
pub mod entry;
pub mod peer;
pub mod protocol;
pub mod runtime;
pub mod settings;
pub mod web;
