use std::time::Duration;

use comfreymill_group::id;
use comfreymill_group::membership;
use comfreymill_group::replica;
use comfreymill_types::time;

use super::core::Core;
use crate::scheduler::member_id;

/// Time between looks at the members.
const CHECK_PERIOD: Duration = Duration::from_millis(200);
/// Silence after which a member is replaced by one that is there.
const LOST_AFTER: Duration = Duration::from_secs(3);
/// Most members, voters and learners.
const MAX_MEMBERS: usize = 16;

/// # Members that come and go
impl Core {
    /// Lets a replica with an empty log announce itself to every member that is known: the leader
    /// may be none of the seeds.
    pub(super) fn announce(&mut self) {
        if self.replica.role() != replica::Role::Newcomer {
            return;
        }
        let members = self.cfg.leader.members();
        let mut addresses = self.cfg.seeds.clone();
        addresses.extend(members.leader);
        addresses.extend(members.all);
        addresses.sort_unstable();
        addresses.dedup();
        let others = addresses.into_iter().filter(|address| *address != self.cfg.address);
        self.replica.set_announce_targets(others.map(member_id::founder).collect());
    }

    /// Takes newcomers in, and replaces members that are lost, one change at a time.
    pub(super) fn tend_members(&mut self, now: time::Monotonic) {
        if now.since(self.members_checked_at) < CHECK_PERIOD {
            return;
        }
        self.members_checked_at = now;
        let status = self.replica.status(now);
        let Some(lead) = &self.lead else { return };
        let led_for = now.since(lead.began_at);
        let Some(change) = self.next_change(&status, led_for) else { return };
        match self.replica.change_membership(now, change) {
            Ok(index) => {
                log::info!(target: "group", change:? = change, entry = index.get(); "the members change");
            }
            Err(reason) => {
                log::debug!(target: "group", change:? = change, reason:% = reason; "the members don't change yet");
            }
        }
    }

    fn next_change(
        &self,
        status: &replica::Status,
        led_for: Duration,
    ) -> Option<membership::Change> {
        let members = &status.membership;
        // A member whose address has a newcomer has lost its folder for good.
        let is_replaced = |member: id::VoterId| {
            let address = member_id::address(member);
            status.newcomers.iter().any(|it| member_id::address(*it) == address)
                || members.iter().any(|(other, _)| {
                    other != member
                        && member_id::address(other) == address
                        && !is_older(other, member, status)
                })
        };
        let is_silent = |member: id::VoterId| {
            let peer = status.peers.iter().find(|peer| peer.voter == member);
            // A leader that has just begun has heard nobody yet.
            peer.is_some_and(|peer| peer.silent_for.unwrap_or(led_for) > LOST_AFTER)
        };
        let others: Vec<(id::VoterId, membership::Member)> =
            members.iter().filter(|(member, _)| *member != status.voter).collect();
        let voters = members.voters().count();
        let ready = others.iter().find(|(member, entry)| !entry.is_voter() && !is_silent(*member));
        if let Some((learner, _)) = ready
            && voters < self.cfg.voters
        {
            return Some(membership::Change::Promote(*learner));
        }
        let replaced = others.iter().find(|(member, _)| is_replaced(*member) && is_silent(*member));
        if let Some((member, _)) = replaced {
            return Some(membership::Change::Remove(*member));
        }
        if ready.is_some() || voters > self.cfg.voters {
            let lost = others.iter().find(|(member, entry)| entry.is_voter() && is_silent(*member));
            if let Some((member, _)) = lost {
                return Some(membership::Change::Remove(*member));
            }
        }
        if let Some(newcomer) = status.newcomers.first()
            && members.len() < MAX_MEMBERS
        {
            return Some(membership::Change::AddLearner(*newcomer));
        }
        let gone = others.iter().find(|(member, entry)| !entry.is_voter() && is_silent(*member));
        gone.map(|(member, _)| membership::Change::Remove(*member))
    }
}

/// Whether `member` is heard less recently than `than`.
fn is_older(member: id::VoterId, than: id::VoterId, status: &replica::Status) -> bool {
    let silent = |id: id::VoterId| {
        let peer = status.peers.iter().find(|peer| peer.voter == id);
        peer.and_then(|peer| peer.silent_for).unwrap_or(Duration::MAX)
    };
    silent(member) > silent(than)
}
