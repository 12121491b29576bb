use comfreymill_group::membership;

use super::member_id;

/// Members of a group as text for the log, each as `address/incarnation`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Roster {
    /// Voters, separated by spaces.
    pub voters: String,
    /// Learners, separated by spaces.
    pub learners: String,
}

impl Roster {
    /// Creates the text of `members`.
    #[must_use]
    pub fn new(members: &membership::Membership) -> Self {
        let names = |is_voter: bool| {
            let members = members.iter().filter(|(_, member)| member.is_voter() == is_voter);
            members.map(|(member, _)| member_id::name(member)).collect::<Vec<_>>().join(" ")
        };
        Self { voters: names(true), learners: names(false) }
    }
}
