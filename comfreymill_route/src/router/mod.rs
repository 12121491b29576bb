//! Routing of prompt requests to executors, with queueing, limits and retries.
//!
//! A [`Router`] belongs to one entry and one thread. Its inputs are tables of executors, documents,
//! requests and outcomes of attempts; its outputs are an [`Admission`] for each request, and
//! [`Action`]s. It never uses more slots of an executor than are granted to this entry, and retries
//! a request on another executor only if the request is proved not to have run.

mod action;
mod admission;
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
mod retry_budget;
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
