//! Delivery of orders to workers and of their answers to the core. It makes no decisions.

mod carry;
#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod courier;

pub(super) use courier::{Courier, Delivered};
