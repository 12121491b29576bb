//! Processes of comfreymill: control, entry and the client of the command line.

pub mod peer;
pub mod settings;
