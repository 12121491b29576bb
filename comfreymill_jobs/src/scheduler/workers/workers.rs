use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use comfreymill_types::time;

use super::super::interference::ImageId;
use super::super::worker::WorkerEntry;
use super::pools::{PoolId, Pools};
use super::room_index::RoomIndex;
use super::score_index::ScoreKey;
use super::timers::Timers;
use crate::id;
use crate::worker;

/// Workers by number, with indexes by name, address, room, score and due time.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct Workers {
    slots: BTreeMap<id::WorkerNumber, Slot>,
    by_name: BTreeMap<id::WorkerName, BTreeSet<id::WorkerNumber>>,
    by_address: BTreeMap<SocketAddr, BTreeSet<id::WorkerNumber>>,
    pools: Pools,
    polls: Timers,
    leases: Timers,
    /// Workers that are out of the indexes until a time.
    returns: Timers,
    unknown_headroom: BTreeSet<id::WorkerNumber>,
    /// Workers that have changed since they were last indexed.
    changed: Vec<id::WorkerNumber>,
}

/// Worker with its position in the indexes.
#[derive(Debug)]
struct Slot {
    entry: WorkerEntry,
    is_changed: bool,
    position: Option<Position>,
    /// Revision of the entry that scores were last told of.
    revision: u64,
    poll_at: Option<time::Monotonic>,
    lease_at: Option<time::Monotonic>,
    returns_at: Option<time::Monotonic>,
}

/// Position of a worker in the index of its pool.
#[derive(Clone, Debug, PartialEq)]
struct Position {
    pool: PoolId,
    labels: Vec<String>,
    free: worker::Resources,
}

impl Workers {
    pub(in crate::scheduler) fn get(&self, number: &id::WorkerNumber) -> Option<&WorkerEntry> {
        self.slots.get(number).map(|slot| &slot.entry)
    }

    /// Returns a worker in order to change it.
    pub(in crate::scheduler) fn get_mut(
        &mut self,
        number: &id::WorkerNumber,
    ) -> Option<&mut WorkerEntry> {
        let slot = self.slots.get_mut(number)?;
        if !slot.is_changed {
            slot.is_changed = true;
            self.changed.push(*number);
        }
        Some(&mut slot.entry)
    }

    pub(in crate::scheduler) fn insert(&mut self, number: id::WorkerNumber, entry: WorkerEntry) {
        self.remove(&number);
        let announced = &entry.replicated.announced;
        self.by_name.entry(announced.name.clone()).or_default().insert(number);
        self.by_address.entry(announced.address).or_default().insert(number);
        let slot = Slot {
            entry,
            is_changed: true,
            position: None,
            revision: 0,
            poll_at: None,
            lease_at: None,
            returns_at: None,
        };
        self.slots.insert(number, slot);
        self.changed.push(number);
    }

    pub(in crate::scheduler) fn remove(
        &mut self,
        number: &id::WorkerNumber,
    ) -> Option<WorkerEntry> {
        let mut slot = self.slots.remove(number)?;
        let announced = &slot.entry.replicated.announced;
        remove_from(&mut self.by_name, &announced.name, *number);
        remove_from(&mut self.by_address, &announced.address, *number);
        self.polls.update(*number, slot.poll_at, None);
        self.leases.update(*number, slot.lease_at, None);
        self.returns.update(*number, slot.returns_at, None);
        self.unknown_headroom.remove(number);
        if let Some(position) = slot.position.take() {
            let pool = self.pools.get_mut(position.pool);
            pool.remove(*number, &position.free, &position.labels);
            pool.note_change(*number);
        }
        Some(slot.entry)
    }

    pub(in crate::scheduler) fn len(&self) -> usize {
        self.slots.len()
    }

    pub(in crate::scheduler) fn values(&self) -> impl Iterator<Item = &WorkerEntry> {
        self.iter().map(|(_, entry)| entry)
    }

    pub(in crate::scheduler) fn iter(
        &self,
    ) -> impl Iterator<Item = (&id::WorkerNumber, &WorkerEntry)> {
        self.slots.iter().map(|(number, slot)| (number, &slot.entry))
    }

    /// Returns the incarnations with the same name as an announcement.
    pub(in crate::scheduler) fn named(
        &self,
        name: &id::WorkerName,
    ) -> impl Iterator<Item = (id::WorkerNumber, &WorkerEntry)> {
        let numbers = self.by_name.get(name).into_iter().flatten();
        numbers.filter_map(|number| Some((*number, self.get(number)?)))
    }

    /// Returns the incarnations with the same name or address as an announcement; some may be
    /// returned twice.
    pub(in crate::scheduler) fn similar(
        &self,
        announced: &worker::Announcement,
    ) -> impl Iterator<Item = (id::WorkerNumber, &WorkerEntry)> {
        let same_address = self.by_address.get(&announced.address).into_iter().flatten();
        let same_address = same_address.filter_map(|number| Some((*number, self.get(number)?)));
        self.named(&announced.name).chain(same_address)
    }

    /// Indexes the workers that have changed; returns their number.
    pub(in crate::scheduler) fn refresh(&mut self, now: time::Monotonic) -> u64 {
        for number in self.returns.due(now, usize::MAX) {
            self.get_mut(&number);
        }
        let changed = std::mem::take(&mut self.changed);
        for number in &changed {
            self.index(now, *number);
        }
        changed.len() as u64
    }

    fn index(&mut self, now: time::Monotonic, number: id::WorkerNumber) {
        let Some(slot) = self.slots.get_mut(&number) else { return };
        slot.is_changed = false;
        let entry = &slot.entry;
        let is_placeable = entry.is_placeable(now);
        let announcement = &entry.announcement;
        let home = self.pools.intern(&announcement.pool);
        let has_moved = slot.position.as_ref().is_some_and(|position| {
            !is_placeable || position.pool != home || position.labels != announcement.labels
        });
        if let Some(position) = slot.position.take_if(|_| has_moved) {
            let pool = self.pools.get_mut(position.pool);
            pool.remove(number, &position.free, &position.labels);
            pool.note_change(number);
        }
        if is_placeable {
            let (pool, free) = (self.pools.get_mut(home), entry.free());
            let mut is_rescored = slot.revision != entry.revision;
            slot.revision = entry.revision;
            if let Some(position) = &mut slot.position {
                if position.free != free {
                    pool.remove(number, &position.free, &position.labels);
                    pool.insert(number, &free, &position.labels);
                    position.free = free;
                    is_rescored = true;
                }
            } else {
                pool.insert(number, &free, &announcement.labels);
                let labels = announcement.labels.clone();
                slot.position = Some(Position { pool: home, labels, free });
                is_rescored = true;
            }
            if is_rescored {
                pool.note_change(number);
            }
        }
        if entry.headroom.is_none() {
            self.unknown_headroom.insert(number);
        } else {
            self.unknown_headroom.remove(&number);
        }
        let poll_at = entry.poll_due_at();
        self.polls.update(number, slot.poll_at, poll_at);
        slot.poll_at = poll_at;
        // Leases are extended all the time, so an armed timer stays and is checked when it is due.
        let lease_at = match (slot.lease_at, entry.lease_due_at()) {
            (Some(armed), Some(end)) if armed <= end && armed > now => Some(armed),
            (_, end) => end,
        };
        self.leases.update(number, slot.lease_at, lease_at);
        slot.lease_at = lease_at;
        let returns_at = (entry.backoff_until > now).then_some(entry.backoff_until);
        self.returns.update(number, slot.returns_at, returns_at);
        slot.returns_at = returns_at;
    }

    /// Returns the identifier of a pool.
    pub(in crate::scheduler) fn pool(&mut self, name: &str) -> PoolId {
        self.pools.intern(name)
    }

    /// Returns up to `most` workers to poll.
    pub(in crate::scheduler) fn due_polls(
        &self,
        now: time::Monotonic,
        most: usize,
    ) -> Vec<id::WorkerNumber> {
        self.polls.due(now, most)
    }

    /// Returns up to `most` workers with runs whose leases may be over.
    pub(in crate::scheduler) fn due_leases(
        &self,
        now: time::Monotonic,
        most: usize,
    ) -> Vec<id::WorkerNumber> {
        self.leases.due(now, most)
    }

    /// Returns the workers whose headroom is unknown.
    pub(in crate::scheduler) fn take_unknown_headroom(&mut self) -> BTreeSet<id::WorkerNumber> {
        std::mem::take(&mut self.unknown_headroom)
    }

    /// Sets the headroom of a worker, which is derived from its runs.
    pub(in crate::scheduler) fn set_headroom(
        &mut self,
        number: id::WorkerNumber,
        headroom: Vec<(ImageId, f64)>,
    ) {
        if let Some(slot) = self.slots.get_mut(&number) {
            slot.entry.headroom = Some(headroom);
        }
        self.unknown_headroom.remove(&number);
    }

    /// Passes the workers of a pool, and with a label if one is given, that have room for `needs` to
    /// `accepts`, the one with the least free processor time first, until one is taken in each level
    /// of free accelerators; returns how many were looked at.
    pub(in crate::scheduler) fn best_fits<F>(
        &mut self,
        pool: PoolId,
        label: Option<&str>,
        needs: worker::Resources,
        mut accepts: F,
    ) -> u64
    where
        F: FnMut(id::WorkerNumber, &WorkerEntry) -> bool,
    {
        let mut examined = 1;
        let pool = self.pools.get_mut(pool);
        if let Some(label) = label.filter(|label| pool.rooms(Some(label)).is_none()) {
            pool.add_label(label, |number| {
                let entry = &self.slots.get(&number)?.entry;
                Some((entry.announcement.labels.as_slice(), entry.free()))
            });
        }
        for level in pool.rooms(label).into_iter().flat_map(|rooms| rooms.fitting(needs)) {
            for number in level {
                examined += 1;
                let Some(slot) = self.slots.get(&number) else { continue };
                if accepts(number, &slot.entry) {
                    break;
                }
            }
        }
        examined
    }

    /// Passes the workers of a pool to `accepts`, the one with the most free processor time first,
    /// until one is taken in each level of free accelerators; returns how many were looked at.
    pub(in crate::scheduler) fn roomiest<F>(&self, pool: PoolId, mut accepts: F) -> u64
    where
        F: FnMut(id::WorkerNumber, &WorkerEntry) -> bool,
    {
        let mut examined = 1;
        let rooms = self.pools.get(pool).rooms(None);
        for level in rooms.into_iter().flat_map(RoomIndex::roomiest) {
            for number in level {
                examined += 1;
                let Some(slot) = self.slots.get(&number) else { continue };
                if accepts(number, &slot.entry) {
                    break;
                }
            }
        }
        examined
    }

    /// Brings the scores of a pool's workers for a key up to date; returns how many were scored.
    pub(in crate::scheduler) fn update_scores<F>(
        &mut self,
        pool: PoolId,
        key: &ScoreKey,
        score: F,
    ) -> u64
    where
        F: Fn(&WorkerEntry) -> Option<i64>,
    {
        let slots = &self.slots;
        let score = |number| slots.get(&number).and_then(|slot| score(&slot.entry));
        self.pools.get_mut(pool).update_scores(key, score) + 1
    }

    /// Returns the worker with the highest score for a key after `last`.
    pub(in crate::scheduler) fn next_scored(
        &self,
        pool: PoolId,
        key: &ScoreKey,
        last: Option<(i64, id::WorkerNumber)>,
    ) -> Option<(i64, id::WorkerNumber)> {
        self.pools.get(pool).scores(key)?.next_after(last)
    }

    /// Sets the score of a worker for a key.
    pub(in crate::scheduler) fn set_score(
        &mut self,
        pool: PoolId,
        key: &ScoreKey,
        number: id::WorkerNumber,
        score: Option<i64>,
    ) {
        self.pools.get_mut(pool).set_score(key, number, score);
    }
}

/// Removes a worker from those with the same key.
fn remove_from<K>(
    index: &mut BTreeMap<K, BTreeSet<id::WorkerNumber>>,
    key: &K,
    number: id::WorkerNumber,
) where
    K: Ord,
{
    if let Some(numbers) = index.get_mut(key) {
        numbers.remove(&number);
        if numbers.is_empty() {
            index.remove(key);
        }
    }
}
