//! Records of keyed requests: the entry that handles each one, and its outcome.

mod owner;
mod request_key;
mod request_outcome;
mod request_record;
mod request_state;
mod stored_answer;

pub use owner::Owner;
pub use request_key::RequestKey;
pub use request_outcome::RequestOutcome;
pub use request_record::RequestRecord;
pub use request_state::RequestState;
pub use stored_answer::StoredAnswer;
