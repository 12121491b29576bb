use comfreymill_types::document;
use comfreymill_types::id;

/// Class as the document in force has it, and the asking team if the document has it too.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassView {
    /// Class.
    pub class: document::Class,
    /// Team of the document.
    pub team: Option<id::TeamName>,
}
