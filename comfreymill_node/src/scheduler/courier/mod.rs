//! Carries orders to workers and brings their answers back. It decides nothing.

mod carry;
#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod courier;

pub(super) use courier::{Courier, Delivered};
