//! Delivery of orders to workers and of their answers to the core. It makes no decisions.

mod connections;
mod delivery;
mod order_sender;
mod queued_order;

pub(super) use order_sender::{OrderResult, OrderSender};
