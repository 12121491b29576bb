//! Log entries, and the term and vote that are stored with them.

mod hard_state;
mod log_entry;
mod payload;
mod record;
mod vote;

pub use hard_state::HardState;
pub use log_entry::Entry;
pub use payload::Payload;
pub use record::{EntryRecord, HardStateRecord, MemberRecord, MembershipRecord, PayloadRecord};
pub use vote::Vote;
