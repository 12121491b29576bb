use comfreymill_types::document;
use comfreymill_types::id;

/// Class as defined by the document in force, with the caller's team if the document defines it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassView {
    /// Definition of the class.
    pub class: document::Class,
    /// Team that the caller named, if the document defines it.
    pub team: Option<id::TeamName>,
}
