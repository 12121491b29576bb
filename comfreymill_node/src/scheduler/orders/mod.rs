//! Delivery of orders to workers and of their answers to the core.
//!
//! Who gets a connection is decided by [`ConnectionBudget`], which does no I/O.

mod connection_budget;
mod connections;
mod delivery;
mod order_sender;
mod queued_order;

pub use connection_budget::{ConnectionBudget, Use};

pub(super) use order_sender::{OrderResult, OrderSender};
