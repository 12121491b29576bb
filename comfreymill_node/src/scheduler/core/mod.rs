//! Task that owns the replica, the replicated state and, while it leads, the scheduler.

mod calls;
mod commit;
#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod core;
mod evacuations;
mod group_reports;
mod input;
mod leadership;
mod load;
mod membership;
mod orders;
mod overload;
mod process_state;
mod sessions;
mod task;
mod waiter;

pub(super) use self::core::{Core, CoreConfig};
pub(super) use input::Input;
pub(super) use process_state::ProcessState;
pub(super) use task::{Ended, run};
pub(super) use waiter::ReplyTo;
