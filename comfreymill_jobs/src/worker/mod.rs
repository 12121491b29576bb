//! Messages from workers: announcements, reports of runs, and their ends.

mod announcement;
mod end;
mod plausibility;
mod report;
mod resources;

pub use announcement::{Announcement, Departure};
pub use end::{End, EndKind};
pub use report::{Report, RunStatus};
pub use resources::Resources;
