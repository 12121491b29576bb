//! Delivery of orders to workers and of their answers to the core.
//!
//! Which order is sent next, and who gets a connection, is decided by [`OrderQueue`] and
//! [`ConnectionBudget`], which do no I/O.

mod connection_budget;
mod connections;
mod delivery;
mod lane;
mod link;
mod order_queue;
mod order_sender;
mod outcome;
mod queued_order;
mod shared_queue;
mod target;

pub use connection_budget::{ConnectionBudget, Use};
pub use lane::Lane;
pub use order_queue::OrderQueue;
pub use queued_order::QueuedOrder;

pub(super) use connections::Connections;
pub(super) use order_sender::{OrderResult, OrderSender, Receiver};
