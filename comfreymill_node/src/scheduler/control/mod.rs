//! HTTP listener for workers and operators.

mod evacuations;
mod serve;

pub(super) use serve::{Context, serve};
