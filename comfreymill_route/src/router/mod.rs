//! Choice of an executor for each prompt request, with its queue, limits and retries.
//!
//! A [`Router`] belongs to one entry and one thread. It is told of executors, documents, requests
//! and outcomes, and answers with an [`Admission`] or with [`Action`]s. It uses no more slots of an
//! executor than were granted to this entry. A request is sent to another executor only when it
//! was proved not to have run.

mod action;
mod admission;
mod budget;
mod class_state;
mod config;
mod decision;
mod estimate;
mod executor;
mod executor_view;
mod health;
mod history;
mod holding;
mod outcome;
mod policy;
mod pool;
mod queue;
mod request;
mod request_view;
#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod router;
mod router_dispatch;
mod router_finish;
mod router_health;
mod router_table;
mod service_demand;
mod table;

pub use action::Action;
pub use admission::Admission;
pub use config::Config;
pub use decision::{Decision, Step};
pub use executor_view::ExecutorView;
pub use holding::Holding;
pub use outcome::Outcome;
pub use policy::{ParsePolicyError, Policy};
pub use request_view::RequestView;
pub use router::Router;
pub use service_demand::ServiceDemand;
pub use table::Table;
