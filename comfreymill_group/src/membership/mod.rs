//! Members of a group, membership changes and their history.

mod change;
mod history;
mod member;
mod member_kind;
mod members;

pub use change::Change;
pub use history::History;
pub use member::Member;
pub use member_kind::MemberKind;
pub use members::Membership;
