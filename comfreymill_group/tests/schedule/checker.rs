use crate::schedule::coverage::Coverage;
use crate::schedule::machine::{self, Machine};
use crate::schedule::node::Node;
use comfreymill_group::{entry, id, membership, replica, snapshot};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Checks safety properties against the history of the whole group.
#[derive(Debug, Default)]
pub(crate) struct Checker {
    leaders: HashMap<id::Term, (id::VoterId, id::DiskId)>,
    /// Previous entry's term and payload hash of each entry ever written, by its index and term.
    written: HashMap<(id::Index, id::Term), (id::Term, u64)>,
    /// Term, payload hash and state after each committed entry, from index 1 on.
    committed: Vec<(id::Term, u64, Machine)>,
    /// Upper bound of the term in which each entry was committed: the highest term in which it or
    /// an earlier entry was first applied. Never decreases along the log.
    applied_in: Vec<id::Term>,
    /// Committed memberships by the index of their entry.
    memberships: BTreeMap<id::Index, membership::Membership>,
    /// Numbers of the commands that were rejected, and must not be applied.
    pub(crate) refused: BTreeSet<u64>,
    last_acknowledged: id::Index,
    pub(crate) coverage: Coverage,
    /// Index of each applied command, by its number.
    applied: HashMap<u64, id::Index>,
}

impl Checker {
    /// Checks log matching: entries with equal index and term are equal, and so are all before.
    pub(crate) fn on_write(&mut self, node: &Node, write: &replica::Persist) {
        let Some(replica) = &node.replica else { return };
        for (position, entry) in write.entries.iter().enumerate() {
            let before = match position {
                0 => replica.term_at(entry.index.previous()),
                _ => Some(write.entries[position - 1].term),
            };
            let Some(before) = before else { continue };
            let value = (before, machine::payload_hash(entry));
            let known = self.written.entry((entry.index, entry.term)).or_insert(value);
            assert_eq!(*known, value, "log matching: entry {} of {}", entry.index, entry.term);
        }
    }

    /// Checks state machine safety: all replicas apply the same entry at each index.
    pub(crate) fn on_apply(&mut self, entry: &entry::Entry, after: Machine, term: id::Term) {
        let position = usize::try_from(entry.index.get() - 1).expect("index fits");
        let value = (entry.term, machine::payload_hash(entry), after);
        if position < self.committed.len() {
            assert_eq!(self.committed[position], value, "state machine safety: {}", entry.index);
            return;
        }
        assert_eq!(position, self.committed.len(), "commit without the entries before");
        self.committed.push(value);
        let latest = self.applied_in.last().copied().unwrap_or_default();
        self.applied_in.push(term.max(latest));
        if let entry::Payload::Membership(members) = &entry.payload {
            self.memberships.insert(entry.index, members.clone());
        }
        if let entry::Payload::Data(data) = &entry.payload {
            let number = command_number(data);
            assert!(!self.refused.contains(&number), "refused command {number} is applied");
            let earlier = self.applied.insert(number, entry.index);
            assert!(earlier.is_none(), "command {number} is applied twice");
        }
    }

    /// Checks that a snapshot has the term and the membership of its last entry.
    pub(crate) fn on_snapshot(&self, meta: &snapshot::SnapshotMeta) {
        let position = usize::try_from(meta.index.get()).expect("index fits") - 1;
        assert_eq!(self.committed[position].0, meta.term, "snapshot with another term");
        let members = self.memberships.range(..=meta.index).next_back().map(|(_, members)| members);
        assert_eq!(members, Some(&meta.membership), "snapshot with another membership");
    }

    /// Returns the newest committed membership.
    pub(crate) fn newest_membership(&self) -> Option<&membership::Membership> {
        self.memberships.values().next_back()
    }

    /// Returns whether the newest committed membership doesn't contain the replica.
    pub(crate) fn was_removed(&self, voter: id::VoterId, disk: id::DiskId) -> bool {
        self.newest_membership().is_some_and(|members| !members.contains(voter, disk))
    }

    /// Checks that an installed state equals the one after the committed entries.
    pub(crate) fn on_install(&self, after: Machine) {
        let position = usize::try_from(after.index.get()).expect("index fits");
        assert!(position <= self.committed.len(), "snapshot of entries that are not committed");
        assert_eq!(self.committed[position - 1].2, after, "snapshot of another state");
    }

    /// Checks that an acknowledged command is committed.
    pub(crate) fn on_acknowledge(&mut self, number: u64, index: id::Index) {
        assert_eq!(self.applied.get(&number), Some(&index), "acknowledged but not committed");
        self.coverage.count("acknowledged", 1);
        self.last_acknowledged = self.last_acknowledged.max(index);
    }

    /// Checks election safety, leader completeness and that at most one lease is valid.
    pub(crate) fn check(&mut self, nodes: &[Node], now: u64) {
        let mut holder = None;
        for node in nodes {
            let Some(replica) = node.replica.as_ref().filter(|_| !node.halted) else { continue };
            if replica.role() != replica::Role::Leader {
                continue;
            }
            self.check_leader(replica);
            if !replica.lease_valid(node.clock(now)) {
                continue;
            }
            self.coverage.count("valid leases", 1);
            let other = holder.replace(node.voter);
            assert_eq!(other, None, "two valid leases, one at {}", node.voter);
            if replica.is_ready() {
                let delivered = replica.delivered_index();
                assert!(delivered >= self.last_acknowledged, "stale read at {}", node.voter);
            }
        }
    }

    fn check_leader(&mut self, replica: &replica::Replica) {
        let identity = (replica.voter(), replica.disk());
        match self.leaders.insert(replica.term(), identity) {
            Some(known) => assert_eq!(known, identity, "two leaders in term {}", replica.term()),
            None => {
                self.coverage.count("elections", 1);
                self.check_completeness(replica);
            }
        }
    }

    /// Checks leader completeness: a leader has every entry committed in an earlier term. A process
    /// that stalled may win an old election late, and doesn't need entries of later terms.
    fn check_completeness(&self, replica: &replica::Replica) {
        let earlier = self.applied_in.partition_point(|term| *term < replica.term());
        assert!(
            replica.last_index().get() >= earlier as u64,
            "leader completeness: {} lacks committed entries",
            replica.voter()
        );
        for (position, (term, _, _)) in self.committed[..earlier].iter().enumerate().rev() {
            let index = id::Index::new(position as u64 + 1);
            let Some(found) = replica.term_at(index) else { break };
            assert_eq!(found, *term, "leader completeness: entry {index} at {}", replica.voter());
        }
    }

    /// Returns whether command `number` was applied.
    pub(crate) fn is_applied(&self, number: u64) -> bool {
        self.applied.contains_key(&number)
    }

    /// Returns the index of the last committed entry.
    pub(crate) fn committed_index(&self) -> id::Index {
        id::Index::new(self.committed.len() as u64)
    }
}

/// Returns the number encoded at the start of a command.
pub(crate) fn command_number(data: &[u8]) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&data[..8]);
    u64::from_le_bytes(bytes)
}
