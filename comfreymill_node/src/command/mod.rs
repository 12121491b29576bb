//! Command line of the binary.
//!
//! [`run`] parses the arguments, runs the command and returns the exit code of its error kind, if
//! any. Programs (`entry`, `control`, `gateway`, `scheduler`, `serve`) are started through
//! [`Programs`]. The other commands are clients of an operators' listener, except `check` and
//! `story`, which read files; `check` may ask a scheduler for the routes in force.

mod advice;
mod answer;
mod check;
mod check_report;
mod check_routes;
mod client;
mod document_view;
mod env;
mod flags;
mod general;
mod help;
mod job;
mod line_diff;
mod output_format;
mod programs;
mod render;
mod request;
mod run;
mod story;
mod zone;

pub use line_diff::line_diff;
pub use output_format::{OutputFormat, ParseOutputFormatError};
pub use programs::Programs;
pub use render::render_text;
pub use run::run;

/// Text that a command prints, or the error that it ends with.
type Output = Result<String, comfreymill_types::error::Error>;
