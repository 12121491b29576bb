//! Tests that reading a settings file reports every problem.

mod embedded;
mod file_only;
mod machine;
mod nodes;
