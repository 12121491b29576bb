//! Simulation of prompt requests in virtual time, with real routers and a real granter over fake
//! executors, and measurements of the prompt path.
//!
//! A [`Scenario`] defines the executors, their faults and the load; [`run`] simulates it with one
//! policy and returns a [`Tally`]. [`measure`] runs every scenario with every policy.

mod behaviour;
mod decision_cost;
mod event;
mod fake_entry;
mod fake_executor;
mod figures;
mod fleet;
mod fleet_grants;
mod path_cost;
mod path_entry;
mod path_load;
mod scenario;
mod scenarios;
mod tally;

pub use behaviour::Behaviour;
pub use decision_cost::measure_decision_cost;
pub use figures::{POLICIES, measure};
pub use fleet::run;
pub use path_cost::measure_path_cost;
pub use scenario::Scenario;
pub use tally::Tally;
