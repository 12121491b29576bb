//! Small deployment: the programs of the deploy file as processes, on loopback addresses.

mod deployment;
mod process;
mod template;

pub(crate) use deployment::{Deployment, SERVICE};
pub(crate) use process::end_all;
