use std::collections::BTreeMap;
use std::time::Duration;

use comfreymill_route::grant;
use comfreymill_types::id;
use comfreymill_types::time;

type GrantId = (id::ExecutorName, id::Incarnation, id::EntryName, id::Incarnation);

/// Simulated leader, with the group's log, which is kept across leader changes.
#[derive(Debug)]
pub(super) struct Leader {
    pub(super) term: u64,
    pub(super) granter: grant::Granter,
    log: BTreeMap<GrantId, grant::GrantChange>,
}

pub(super) const LEASE: Duration = Duration::from_millis(1_000);

fn config() -> grant::Config {
    grant::Config::default()
        .lease(LEASE)
        .longest_deadline(Duration::from_millis(500))
        .chunk(2)
        .floor(1)
        .drift(0.0)
        .announce_grace(Duration::from_millis(200))
}

impl Leader {
    pub(super) fn new() -> Self {
        let granter = grant::Granter::recover(config(), 0, 1, time::Monotonic::ZERO, []);
        Self { term: 1, granter, log: BTreeMap::new() }
    }

    /// Replaces the leader with a new one that recovers from the log.
    pub(super) fn change(&mut self, now: time::Monotonic) {
        self.term += 1;
        let grants = self.log.values().cloned();
        self.granter = grant::Granter::recover(config(), 0, self.term, now, grants);
    }

    /// Commits changes of the present term; those of an earlier term are lost.
    pub(super) fn commit(&mut self, term: u64, changes: Vec<grant::GrantChange>) {
        if term != self.term {
            return;
        }
        for change in changes {
            self.granter.committed(&change);
            let id = (
                change.executor.clone(),
                change.executor_incarnation,
                change.entry.clone(),
                change.entry_incarnation,
            );
            if change.slots == 0 {
                self.log.remove(&id);
            } else {
                self.log.insert(id, change);
            }
        }
    }

    /// Checks that the log grants at most `slots` slots of each executor incarnation.
    pub(super) fn check(&self, slots: u32) {
        let mut sums: BTreeMap<_, u32> = BTreeMap::new();
        for ((executor, incarnation, _, _), change) in &self.log {
            *sums.entry((executor, *incarnation)).or_default() += change.slots;
        }
        for (executor, sum) in sums {
            assert!(sum <= slots, "{executor:?} granted {sum} of {slots} slots");
        }
    }
}
