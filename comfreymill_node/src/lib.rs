//! Processes of comfreymill: control, entry and the client of the command line.

pub mod clock;
pub mod entry;
pub mod peer;
pub mod protocol;
pub mod web;
