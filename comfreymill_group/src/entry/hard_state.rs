use crate::entry::Vote;
use crate::id;

/// Term and vote, synced before any message that depends on them is sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HardState {
    /// Latest term seen.
    pub term: id::Term,
    /// Vote granted in that term.
    pub vote: Option<Vote>,
}
