//! Dispatcher: a task that owns one router per environment and stage, and the documents in force.
//!
//! Requests are submitted as messages and are told which executor to use. The dispatcher refuses
//! requests until the leader has confirmed its documents, and again once they have not been
//! confirmed for the length of the lease. After that time, an accepted document is in force on
//! every entry that still serves requests.

mod class_view;
mod dispatch_step;
mod handle;
mod input;
mod stage_router;
mod state;
mod state_push;
mod task;

pub use class_view::ClassView;
pub use dispatch_step::DispatchStep;
pub use handle::{Dispatcher, RequestHandle};
pub use state::{DispatchConfig, DispatchStatus};
pub use task::start;
