use crate::id;
use crate::replica::{Replica, Start};
use comfreymill_types::time;
use std::time::Duration;

const FORGOTTEN_AFTER: Duration = Duration::from_secs(3);

/// Replica with an empty log that announced itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct Newcomer {
    pub(super) disk: id::DiskId,
    pub(super) heard_at: time::Monotonic,
}

impl Newcomer {
    /// Whether it has announced itself lately, as it does as long as its log is empty.
    pub(super) fn is_present(&self, now: time::Monotonic) -> bool {
        now.since(self.heard_at) < FORGOTTEN_AFTER
    }
}

impl Replica {
    /// Names the members that a replica with an empty log announces itself to; a founder keeps
    /// those that it founds with.
    ///
    /// Only a leader takes a newcomer in, so those named by the settings may not be enough.
    pub fn announce_to(&mut self, peers: Vec<id::VoterId>) {
        if let Start::Join { peers: named } = self.cfg.start_mut() {
            *named = peers;
        }
    }
}
