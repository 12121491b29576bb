//! Calls about jobs of steps, workers that are told and routes, between the system's processes.
//!
//! Every call may be sent again: a job, a cancel or a version of the routes that is there already
//! is acknowledged and changes nothing.

mod call;
mod client;
mod codec;
mod link;
mod members;
mod reply;

pub(crate) use call::Call;
pub(crate) use client::{Client, Lost};
pub(crate) use codec::{decode, encode};
pub(crate) use link::LinkConfig;
pub(crate) use members::Members;
pub(crate) use reply::{Phase, Reply};
