//! Facade crate, which re-exports `comfreymill_node` and `comfreymill_types`.

pub use comfreymill_node as node;
pub use comfreymill_types as types;
