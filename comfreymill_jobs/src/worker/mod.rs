//! What workers say of themselves and of what they run.

mod announcement;
mod end;
mod report;
mod resources;

pub use announcement::{Announcement, Departure};
pub use end::{End, EndKind};
pub use report::{Report, RunRow};
pub use resources::Resources;
