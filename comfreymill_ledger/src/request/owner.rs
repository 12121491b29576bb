use std::fmt;

use comfreymill_types::id;

/// Entry, in one of its lives, that runs a keyed request.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Owner {
    /// Name of the entry.
    pub entry: id::EntryName,
    /// Life of the entry.
    pub incarnation: id::Incarnation,
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.entry, self.incarnation)
    }
}
