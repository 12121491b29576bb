use comfreymill_types::document;
use comfreymill_types::id;

/// Class of a request as the document in force has it.
#[derive(Clone, Debug)]
pub struct ClassView {
    /// Class.
    pub class: document::Class,
    /// Team that the caller named, if the document has it.
    pub team: Option<id::TeamName>,
}
