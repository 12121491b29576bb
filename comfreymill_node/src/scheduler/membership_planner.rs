//! Which member the leader adds, promotes or removes next.

use std::time::Duration;

use comfreymill_group::id;
use comfreymill_group::membership;
use comfreymill_group::replica;
use comfreymill_types::time;

use super::member_id;

/// Interval between checks of the membership.
const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Silence after which a member may be removed or replaced.
pub(super) const SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// Silence after which a member is removed whose machine has announced itself with an empty data folder:
/// its former data is gone, and its vote counts until it is removed.
const REPLACED_SILENCE_LIMIT: Duration = Duration::from_secs(1);
/// Maximum number of members, voters and learners together.
const MAX_MEMBERS: usize = 16;

/// Decides on changes of the membership while a replica leads; it does no I/O.
#[derive(Clone, Copy, Debug)]
pub struct MembershipPlanner {
    voters: usize,
    checked_at: time::Monotonic,
}

impl MembershipPlanner {
    /// Creates a planner for a group that wants this number of voters.
    #[must_use]
    pub fn new(voters: usize) -> Self {
        Self { voters, checked_at: time::Monotonic::ZERO }
    }

    /// Returns the change that the leader `replica` should make next, if a check is due.
    #[must_use]
    pub fn check(
        &mut self,
        now: time::Monotonic,
        replica: &replica::Replica,
    ) -> Option<membership::Change> {
        if now.since(self.checked_at) < CHECK_PERIOD {
            return None;
        }
        self.checked_at = now;
        self.next_change(&replica.status(now))
    }

    fn next_change(&self, status: &replica::Status) -> Option<membership::Change> {
        let members = &status.membership;
        // A newcomer at a member's address shows that the member has lost its data folder.
        let is_replaced = |member: id::VoterId| {
            let address = member_id::address(member);
            status.newcomers.iter().any(|newcomer| member_id::address(*newcomer) == address)
                || members.iter().any(|(other, _)| {
                    other != member
                        && member_id::address(other) == address
                        && !was_heard_earlier(other, member, status)
                })
        };
        let silence = |member: id::VoterId| {
            let peer = status.peers.iter().find(|peer| peer.voter == member);
            peer.map_or(Duration::ZERO, |peer| peer.silent_for.unwrap_or(peer.unheard_for))
        };
        let is_silent_for = |member: id::VoterId, limit: Duration| silence(member) > limit;
        let is_silent = |member: id::VoterId| is_silent_for(member, SILENCE_LIMIT);
        let others: Vec<(id::VoterId, membership::Member)> =
            members.iter().filter(|(member, _)| *member != status.voter).collect();
        let voters = members.voters().count();
        let has_caught_up = |member: id::VoterId| {
            status.peers.iter().any(|peer| peer.voter == member && peer.has_caught_up)
        };
        let ready_learner =
            others.iter().find(|(member, entry)| !entry.is_voter() && has_caught_up(*member));
        if let Some((learner, _)) = ready_learner
            && voters < self.voters
        {
            return Some(membership::Change::Promote(*learner));
        }
        let replaced = others.iter().find(|(member, _)| {
            is_replaced(*member) && is_silent_for(*member, REPLACED_SILENCE_LIMIT)
        });
        if let Some((member, _)) = replaced {
            return Some(membership::Change::Remove(*member));
        }
        // A silent voter may come back with its data: it is kept while there are too few voters.
        let may_replace = voters == self.voters && ready_learner.is_some();
        if may_replace || voters > self.voters {
            let silent_voters =
                others.iter().filter(|(member, entry)| entry.is_voter() && is_silent(*member));
            if let Some((member, _)) = silent_voters.max_by_key(|(member, _)| silence(*member)) {
                return Some(membership::Change::Remove(*member));
            }
        }
        if let Some(newcomer) = status.newcomers.first()
            && members.len() < MAX_MEMBERS
        {
            return Some(membership::Change::AddLearner(*newcomer));
        }
        let silent_learner =
            others.iter().find(|(member, entry)| !entry.is_voter() && is_silent(*member));
        silent_learner.map(|(member, _)| membership::Change::Remove(*member))
    }
}

/// Returns whether `member` was last heard from earlier than `other`.
fn was_heard_earlier(member: id::VoterId, other: id::VoterId, status: &replica::Status) -> bool {
    let silent_for = |id: id::VoterId| {
        let peer = status.peers.iter().find(|peer| peer.voter == id);
        peer.and_then(|peer| peer.silent_for).unwrap_or(Duration::MAX)
    };
    silent_for(member) > silent_for(other)
}
