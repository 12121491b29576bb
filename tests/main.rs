//! Tests of the binary.

mod command_line;
