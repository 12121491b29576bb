//! Near the data or the group, or now: whether a task waits for a worker on the rack where it is
//! fast.
//!
//! Load pattern: a burst of jobs names the same rack as that of its data. The rack is full for
//! longer than the tasks take, while most other workers are idle, and away from the rack each task
//! takes `RemoteFactor` times as long. Taking any worker at once wastes the difference whenever a
//! place at the rack is about to become free; waiting without a limit leaves all jobs late.
//!
//! A wait is weighed against what it saves: the wait that is expected at the rack, from what ends
//! there when and from what waits there already, against the extra time that the task takes
//! elsewhere, within the time that the job has left. The comparison is repeated while the task
//! waits, and the sum of the waits is bounded.

mod choice;
mod counts;
mod decision;
mod durations;
mod forecast;
mod groups;
mod hook;
mod observed;
mod racks;
mod remote_factor;
mod wait;
mod weigh;

pub use choice::{Choice, Reason};
pub use counts::LocalityCounts;
pub use decision::{Case, decide};
pub use forecast::{Forecast, Opening};
pub(super) use hook::Place;
pub use remote_factor::{InvalidRemoteFactor, RemoteFactor};
pub(super) use wait::Locality;
pub use wait::WaitStatus;
