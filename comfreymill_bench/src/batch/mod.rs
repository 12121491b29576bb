//! Benchmarks of the decisions about batch work.
//!
//! [`policy`] feeds one seeded sequence of events to the scheduler under each policy, with small
//! fake workers whose prompt services are disturbed by a simple hidden model and measured late.
//! [`cost`] measures the processor time and memory of decisions.

mod cost;
mod hidden;
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

use hidden::Hidden;
use job::{Job, Kind};
use measures::Measures;
use plan::{Plan, Step};
use run::Run;
use trial::Trial;
use worker::Worker;
