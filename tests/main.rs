//! Tests of the processes together.

mod thin_path;
