use crate::entry::Vote;
use crate::id;

/// Term and vote, durable before any answer that rests on them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HardState {
    /// Latest term seen.
    pub term: id::Term,
    /// Vote given in that term.
    pub vote: Option<Vote>,
}
