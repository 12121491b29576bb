//! Scheduler process: a replica of the group that stores jobs, routes and workers. The leader also
//! places tasks and sends orders to the workers.
//!
//! Members find each other through their seeds. The initial members found the group; all others
//! announce themselves and are added by the leader. A member's id contains its address, so members
//! need only the group's membership to reach each other.

mod control;
mod core;
mod descriptor_budget;
mod explanation;
mod learner_state;
mod links;
mod member_id;
mod membership_planner;
pub mod orders;
mod process;
mod roster;
pub mod turns;
mod voter_report;

pub use learner_state::LearnerState;
pub use membership_planner::MembershipPlanner;
pub use process::run;
pub use roster::Roster;
pub use voter_report::VoterReport;
