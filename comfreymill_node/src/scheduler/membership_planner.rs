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
/// Silence after which a member is removed that has another member at its address.
const REPLACED_SILENCE_LIMIT: Duration = Duration::from_secs(1);
/// Silence for which a learner still counts as one that answers.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// Silence of a member after which an announcement at its address shows that it is replaced; heartbeats
/// are answered in between if it lives.
const REPLACED_AFTER: Duration = Duration::from_millis(300);
/// Time after which a voter whose disk syncs nothing may be replaced.
const HUNG_AFTER: Duration = Duration::from_secs(10);
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
        let voters = members.voters().count();
        let is_short = voters < self.voters;
        let others: Vec<(id::VoterId, membership::Member)> =
            members.iter().filter(|(member, _)| *member != status.voter).collect();
        let learners = || others.iter().filter(|(_, entry)| !entry.is_voter());
        let find_learner = |is_met: fn(&replica::PeerStatus) -> bool| {
            let mut learners = learners().map(|(learner, _)| *learner);
            learners.find(|learner| peer(status, *learner).is_some_and(is_met))
        };
        let ready_learner = find_learner(|learner| learner.has_caught_up);
        if is_short && let Some(learner) = ready_learner {
            return Some(membership::Change::Promote(learner));
        }
        if is_short && !members.quorum_grows_by_voter() {
            // Whoever answers may vote, however slow its disk is: without it no fewer votes are needed.
            let learner = find_learner(|learner| learner.syncs_entries);
            if let Some(learner) = learner.or_else(|| find_learner(answers)) {
                return Some(membership::Change::Promote(learner));
            }
            if let Some(newcomer) = newest(status.newcomers.iter()) {
                return Some(membership::Change::AddVoter(newcomer));
            }
        }
        let replaced = others.iter().find(|(member, _)| is_replaced(*member, status));
        if let Some((member, _)) = replaced {
            return Some(membership::Change::Remove(*member));
        }
        // A silent voter may come back with its data: it is kept while there are too few voters.
        let has_successor = || find_learner(|learner| learner.syncs_entries).is_some();
        if voters > self.voters || (voters == self.voters && has_successor()) {
            let silent_voters = others.iter().filter(|(member, entry)| {
                entry.is_voter() && silence(*member, status) > SILENCE_LIMIT
            });
            if let Some((member, _)) =
                silent_voters.max_by_key(|(member, _)| silence(*member, status))
            {
                return Some(membership::Change::Remove(*member));
            }
        }
        // Its vote counts only once its disk syncs, so it leaves it to one whose disk does.
        let hung = others
            .iter()
            .find(|(member, entry)| entry.is_voter() && peer(status, *member).is_some_and(is_hung));
        if voters == self.voters
            && ready_learner.is_some()
            && let Some((member, _)) = hung
        {
            return Some(membership::Change::Remove(*member));
        }
        // One at the address of a member takes its place, once it is clear that the member is gone.
        let is_at_member = |newcomer: id::VoterId| {
            members.iter().any(|(member, _)| member_id::is_same_address(member, newcomer))
        };
        let strangers = status.newcomers.iter().filter(|newcomer| !is_at_member(newcomer.voter));
        if let Some(newcomer) = newest(strangers)
            && members.len() < MAX_MEMBERS
        {
            return Some(membership::Change::AddLearner(newcomer));
        }
        let silent_learner =
            learners().find(|(member, _)| silence(*member, status) > SILENCE_LIMIT);
        silent_learner.map(|(member, _)| membership::Change::Remove(*member))
    }
}

fn peer(status: &replica::Status, member: id::VoterId) -> Option<&replica::PeerStatus> {
    status.peers.iter().find(|peer| peer.voter == member)
}

/// Returns whether a member has answered this leader lately.
fn answers(peer: &replica::PeerStatus) -> bool {
    peer.silent_for.is_some_and(|silent_for| silent_for < ANSWER_LIMIT)
}

/// Returns whether a member answers, but its disk has synced nothing for long that it was sent.
pub(super) fn is_hung(peer: &replica::PeerStatus) -> bool {
    peer.tracked_for > HUNG_AFTER && answers(peer) && !peer.syncs_entries
}

/// Returns for how long a member has been silent.
fn silence(member: id::VoterId, status: &replica::Status) -> Duration {
    let peer = peer(status, member);
    peer.map_or(Duration::ZERO, |peer| peer.silent_for.unwrap_or(peer.unheard_for))
}

/// Returns the newcomer that announced itself last.
fn newest<'a, N>(newcomers: N) -> Option<id::VoterId>
where
    N: Iterator<Item = &'a replica::NewcomerStatus>,
{
    newcomers.min_by_key(|newcomer| newcomer.silent_for).map(|newcomer| newcomer.voter)
}

/// Returns whether another replica at the address of a member shows that the member has lost its data
/// folder: a newcomer that announced itself after the member was last heard, or another member that was
/// heard later. A former member that announces itself late shows nothing.
fn is_replaced(member: id::VoterId, status: &replica::Status) -> bool {
    let is_at_address =
        |other: id::VoterId| other != member && member_id::is_same_address(member, other);
    let silence = silence(member, status);
    let is_former =
        |other: id::VoterId| status.membership.former().any(|(former, _)| former == other);
    let mut newcomers = status
        .newcomers
        .iter()
        .filter(|newcomer| is_at_address(newcomer.voter) && !is_former(newcomer.voter));
    let mut others = status.membership.iter().filter(|(other, _)| is_at_address(*other));
    let is_announced = newcomers.any(|newcomer| newcomer.silent_for < silence);
    (is_announced && silence > REPLACED_AFTER)
        || (silence > REPLACED_SILENCE_LIMIT
            && others.any(|(other, _)| was_heard_earlier(member, other, status)))
}

/// Returns whether `member` was last heard from earlier than `other`.
fn was_heard_earlier(member: id::VoterId, other: id::VoterId, status: &replica::Status) -> bool {
    let silent_for = |id: id::VoterId| {
        peer(status, id).and_then(|peer| peer.silent_for).unwrap_or(Duration::MAX)
    };
    silent_for(member) > silent_for(other)
}
