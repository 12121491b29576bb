//! Tests of the binary and of its processes together.

mod command_line;
mod fleet;
mod process;
mod support;
mod thin_path;
