//! Command line of the binary.
//!
//! [`run`] parses the arguments, does what they ask and gives the exit code, which comes from the
//! table of error kinds. Programs (`entry`, `control`, `serve`) are started through [`Programs`];
//! the other commands are clients of an operators' listener, but for `check`, which reads files.

mod advice;
mod answer;
mod check;
mod check_report;
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

pub use line_diff::line_diff;
pub use output_format::{OutputFormat, ParseOutputFormatError};
pub use programs::Programs;
pub use render::render_text;
pub use run::run;

/// Text that a command prints.
type Output = Result<String, comfreymill_types::error::Error>;
