//! Tests of the binary and of its processes together.

mod command_line;
mod thin_path;
