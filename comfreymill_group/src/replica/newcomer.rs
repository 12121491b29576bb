use crate::id;
use crate::replica::{NewcomerStatus, Replica, Start};
use comfreymill_types::time;
use std::time::Duration;

const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Replica with an empty log that announced itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct Newcomer {
    pub(super) disk: id::DiskId,
    pub(super) announced_at: time::Monotonic,
}

impl Newcomer {
    /// Returns whether the last announcement is recent; it is repeated while the log is empty.
    pub(super) fn is_recent(&self, now: time::Monotonic) -> bool {
        now.since(self.announced_at) < ANNOUNCEMENT_TIMEOUT
    }
}

impl Replica {
    /// Returns the replicas that announced themselves lately and are not members.
    pub fn newcomers(&self, now: time::Monotonic) -> Vec<NewcomerStatus> {
        let recent = self.newcomers.iter().filter(|(_, newcomer)| newcomer.is_recent(now));
        let nonmembers = recent.filter(|(voter, _)| self.membership().get(**voter).is_none());
        let statuses = nonmembers.map(|(voter, newcomer)| NewcomerStatus {
            voter: *voter,
            silent_for: now.since(newcomer.announced_at),
        });
        statuses.collect()
    }

    /// Forgets the announcements of members: one that is removed later must not be added again for
    /// an announcement from before.
    pub(super) fn forget_announcements_of_members(&mut self) {
        let membership = self.log.history().current();
        self.newcomers.retain(|voter, _| membership.get(*voter).is_none());
    }

    /// Sets the members that a joining replica with an empty log announces itself to. Has no effect
    /// on a first voter of a new group.
    ///
    /// Only a leader adds a newcomer, and the settings may not name the current leader.
    pub fn set_announce_targets(&mut self, peers: Vec<id::VoterId>) {
        if let Start::Join { peers: named } = self.cfg.start_mut() {
            *named = peers;
        }
    }
}
