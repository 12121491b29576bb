use crate::id;
use std::ptr;

/// How members are named in the log.
#[derive(Clone, Copy, Debug)]
pub(super) struct MemberNames(fn(id::VoterId) -> String);

impl MemberNames {
    /// Names members by `names`.
    pub(super) fn new(names: fn(id::VoterId) -> String) -> Self {
        Self(names)
    }

    /// Returns the name of a member.
    pub(super) fn name_of(self, voter: id::VoterId) -> String {
        (self.0)(voter)
    }
}

impl Default for MemberNames {
    fn default() -> Self {
        Self(|voter| voter.to_string())
    }
}

impl PartialEq for MemberNames {
    fn eq(&self, other: &Self) -> bool {
        ptr::fn_addr_eq(self.0, other.0)
    }
}

impl Eq for MemberNames {}
