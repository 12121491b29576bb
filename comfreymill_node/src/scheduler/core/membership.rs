use comfreymill_group::replica;
use comfreymill_types::time;

use super::core::Core;
use crate::scheduler::member_id;

/// # Membership changes
impl Core {
    /// Announces a replica with an empty log to every known member, because the leader may not be
    /// among the seeds.
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

    /// Adds newcomers and replaces silent members, one change at a time.
    pub(super) fn update_membership(&mut self, now: time::Monotonic) {
        if self.leadership.is_none() {
            return;
        }
        let Some(change) = self.membership.check(now, &self.replica) else { return };
        match self.replica.change_membership(now, change) {
            Ok(index) => {
                log::info!(target: "group", change:? = change, entry = index.get(); "a membership change is proposed");
            }
            Err(reason) => {
                log::debug!(target: "group", change:? = change, reason:% = reason; "a membership change is not possible yet");
            }
        }
    }
}
