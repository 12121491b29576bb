//! Ids and positions: voters, disks, groups, terms and log indexes.

#[macro_use]
mod newtype;

mod disk_id;
mod group_id;
mod index;
mod sequence;
mod term;
mod voter_id;

pub use disk_id::DiskId;
pub use group_id::GroupId;
pub use index::Index;
pub use sequence::Sequence;
pub use term::Term;
pub use voter_id::VoterId;
