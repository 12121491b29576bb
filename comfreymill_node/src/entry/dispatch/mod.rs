//! The task that owns the routers, one for each environment and stage, and the documents in force.
//!
//! Requests reach it as messages and are told where to go. It serves nothing until the leader has
//! confirmed the documents, and stops when it could not confirm them for the length of the lease:
//! a document that was accepted is then in force wherever requests are served.

mod class_view;
mod desk;
mod dispatch_order;
mod handle;
mod input;
mod state;
mod state_push;
mod task;

pub use class_view::ClassView;
pub use dispatch_order::DispatchOrder;
pub use handle::{Dispatcher, Ticket};
pub use state::{DispatchConfig, DispatchStatus};
pub use task::start;
