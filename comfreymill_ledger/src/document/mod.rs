//! Environment documents, by stage.

mod document_record;
mod environment_state;

pub use document_record::DocumentRecord;
pub use environment_state::EnvironmentState;
