use std::fmt;

use comfreymill_types::id;

/// Incarnation of an entry that handles a keyed request.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Owner {
    /// Name of the entry.
    pub entry: id::EntryName,
    /// Incarnation of the entry.
    pub incarnation: id::Incarnation,
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.entry, self.incarnation)
    }
}
