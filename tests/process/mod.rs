//! What a running process shows to the system and to its operators.

mod metrics;
mod operator;
mod system;
