use std::time::Duration;

use comfreymill_group::id;
use comfreymill_group::membership;
use comfreymill_group::replica;
use comfreymill_types::time;

use super::core::Core;
use crate::scheduler::member_id;

/// Interval between checks of the membership.
const CHECK_PERIOD: Duration = Duration::from_millis(200);
/// Silence after which a member may be removed or replaced.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// Silence after which a member is removed whose machine has announced itself with an empty data folder:
/// its former data is gone, and its vote counts until it is removed.
const REPLACED_SILENCE_LIMIT: Duration = Duration::from_secs(1);
/// Interval between log lines about a group that is not whole, or that this replica waits to join.
const REPORT_PERIOD: Duration = Duration::from_secs(5);
/// Maximum number of members, voters and learners together.
const MAX_MEMBERS: usize = 16;

/// # Membership changes
impl Core {
    /// Announces a replica with an empty log wherever members are looked for, because the leader may
    /// not be among the seeds.
    pub(super) fn announce(&mut self, now: time::Monotonic) {
        if self.replica.role() != replica::Role::Newcomer {
            return;
        }
        let mut addresses = self.cfg.leader.addresses();
        addresses.retain(|address| *address != self.cfg.address);
        if now.since(self.membership_reported_at) >= REPORT_PERIOD {
            self.membership_reported_at = now;
            log::info!(target: "group", announced_to:? = addresses; "this replica waits to be added to a group");
        }
        let targets = addresses.into_iter().map(member_id::founder).collect();
        self.replica.set_announce_targets(targets);
    }

    /// Closes the connections to replicas that are no members and were not written to lately.
    pub(super) fn close_idle_links(&mut self) {
        let members = self.replica.membership();
        self.links.close_idle(|address| {
            members.iter().any(|(member, _)| member_id::address(member) == address)
        });
    }

    /// Adds newcomers and replaces silent members, one change at a time.
    pub(super) fn update_membership(&mut self, now: time::Monotonic) {
        if now.since(self.members_checked_at) < CHECK_PERIOD {
            return;
        }
        self.members_checked_at = now;
        let status = self.replica.status(now);
        if self.leadership.is_none() {
            return;
        }
        self.report_silent_members(now, &status);
        let Some(change) = self.next_change(&status) else { return };
        match self.replica.change_membership(now, change) {
            Ok(index) => {
                log::info!(target: "group", change:? = change, entry = index.get(); "a membership change is proposed");
            }
            Err(reason) => {
                log::debug!(target: "group", change:? = change, reason:% = reason; "a membership change is not possible yet");
            }
        }
    }

    /// Logs the members that do not answer and the newcomers, if fewer voters answer than wanted.
    fn report_silent_members(&mut self, now: time::Monotonic, status: &replica::Status) {
        let answers = |member: id::VoterId| {
            let peer = status.peers.iter().find(|peer| peer.voter == member);
            peer.is_none_or(|peer| peer.silent_for.is_some_and(|silent| silent < SILENCE_LIMIT))
        };
        let voters = status.membership.voters().count();
        let answering = status.membership.voters().filter(|voter| answers(*voter)).count();
        let is_whole = answering >= self.cfg.voters;
        if is_whole || now.since(self.membership_reported_at) < REPORT_PERIOD {
            return;
        }
        self.membership_reported_at = now;
        let silent = status.membership.iter().map(|(member, _)| member);
        let silent: Vec<_> =
            silent.filter(|member| !answers(*member)).map(member_id::address).collect();
        let newcomers: Vec<_> = status.newcomers.iter().copied().map(member_id::address).collect();
        log::warn!(target: "group", voters, answering, silent:? = silent, newcomers:? = newcomers; "fewer voters answer than the group should have");
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
        let is_silent_for = |member: id::VoterId, limit: Duration| {
            let peer = status.peers.iter().find(|peer| peer.voter == member);
            // The silence of a member that was never heard counts from when this leader knows of it.
            peer.is_some_and(|peer| peer.silent_for.unwrap_or(peer.tracked_for) > limit)
        };
        let is_silent = |member: id::VoterId| is_silent_for(member, SILENCE_LIMIT);
        let others: Vec<(id::VoterId, membership::Member)> =
            members.iter().filter(|(member, _)| *member != status.voter).collect();
        let voters = members.voters().count();
        let active_learner =
            others.iter().find(|(member, entry)| !entry.is_voter() && !is_silent(*member));
        if let Some((learner, _)) = active_learner
            && voters < self.cfg.voters
        {
            return Some(membership::Change::Promote(*learner));
        }
        let replaced = others.iter().find(|(member, _)| {
            is_replaced(*member) && is_silent_for(*member, REPLACED_SILENCE_LIMIT)
        });
        if let Some((member, _)) = replaced {
            return Some(membership::Change::Remove(*member));
        }
        if active_learner.is_some() || voters > self.cfg.voters {
            let silent_voter =
                others.iter().find(|(member, entry)| entry.is_voter() && is_silent(*member));
            if let Some((member, _)) = silent_voter {
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
