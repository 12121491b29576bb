//! Task that owns the replica, the replicated state and the leader's state.

mod apply;
mod calls;
mod config;
#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod core;
mod group;
mod input;
mod membership;
mod operate;
mod push;
mod sessions;
mod task;
mod waiter;

pub(super) use config::CoreConfig;
pub(super) use core::Core;
pub(super) use input::Input;
pub(super) use task::run;
