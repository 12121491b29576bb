//! Members of a group, membership changes and their history.

mod change;
mod history;
mod member;
mod members;
mod stage;

pub use change::Change;
pub use history::History;
pub use member::Member;
pub use members::Membership;
pub use stage::Stage;
