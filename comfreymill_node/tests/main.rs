//! Tests of the processes' parts.

mod settings;
