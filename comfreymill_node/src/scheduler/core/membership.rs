use std::time::Duration;

use comfreymill_group::replica;
use comfreymill_types::time;

use super::core::Core;
use crate::scheduler::member_id;
use crate::scheduler::roster::Roster;

/// Interval between log lines about a group that this replica waits to join.
const REPORT_PERIOD: Duration = Duration::from_secs(5);

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
        if self.leadership.is_none() {
            return;
        }
        let Some(change) = self.membership.check(now, &self.replica) else { return };
        match self.replica.change_membership(now, change) {
            Ok(index) => {
                let roster = Roster::new(self.replica.membership());
                log::info!(target: "group", entry = index.get(), voters = roster.voters.as_str(), learners = roster.learners.as_str(), change:? = change; "a membership change is proposed");
            }
            Err(reason) => {
                log::debug!(target: "group", change:? = change, reason:% = reason; "a membership change is not possible yet");
            }
        }
    }
}
