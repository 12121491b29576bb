//! Messages from workers: announcements, reports of runs, and their ends.

mod announcement;
mod end;
mod plausibility;
mod report;
mod resources;
mod unread;

pub use announcement::{Announcement, Departure};
pub use end::{End, EndKind};
pub use report::{Report, RunStatus};
pub use resources::Resources;
pub use unread::Unread;
