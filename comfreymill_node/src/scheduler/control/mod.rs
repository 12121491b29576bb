//! HTTP listener for workers and operators.

mod serve;

pub(super) use serve::{Context, serve};
