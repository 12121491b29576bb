//! Facade of comfreymill: re-exports of the crates that make up the scheduler.

pub use comfreymill_node as node;
pub use comfreymill_types as types;
