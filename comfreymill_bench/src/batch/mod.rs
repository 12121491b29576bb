//! Benchmarks of the batch scheduler's decisions.
//!
//! [`policy`] passes the same seeded sequence of events to the scheduler under each policy. Fake
//! workers run the tasks, and a simple interference model, unknown to the scheduler, slows down
//! their prompt services, whose latencies are reported with a delay. [`cost`] measures the
//! processor time and memory of decisions.

mod cost;
mod interference_model;
mod job;
mod measures;
mod plan;
mod policy;
mod run;
mod site;
mod trial;
mod worker;

pub use cost::cost;
pub use policy::{policies, policy};
pub use site::{ParseSiteError, Site};

use interference_model::InterferenceModel;
use job::{Job, Kind};
use measures::Measures;
use plan::{Plan, Step};
use run::Run;
use trial::Trial;
use worker::Worker;
