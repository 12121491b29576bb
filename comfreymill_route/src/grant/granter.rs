use std::collections::{BTreeMap, BTreeSet};
use std::mem;
use std::time::Duration;

use comfreymill_types::id;
use comfreymill_types::time;

use super::entry_state::EntryState;
use super::executor_state::{ExecutorState, Holder, HolderId};
use super::{Announcement, Config, GrantChange, Heartbeat};
use crate::router;

/// Position of the leader's term within an epoch.
const TERM_SHIFT: u32 = 32;

/// Distributes the slots of one group's executors among the entries.
///
/// Each new leader of the group creates its own with [`Granter::recover`].
#[derive(Debug)]
pub struct Granter {
    pub(super) cfg: Config,
    source: u32,
    epoch: u64,
    /// Time by which every running executor has announced itself to this leader.
    announcements_due_at: time::Monotonic,
    pub(super) executors: BTreeMap<id::ExecutorName, ExecutorState>,
    pub(super) entries: BTreeMap<id::EntryName, EntryState>,
    /// Executors ejected by most entries, as of the last rebalancing.
    pub(super) widely_avoided: BTreeSet<id::ExecutorName>,
    pub(super) changes: Vec<GrantChange>,
    /// Whether a recall began or ended since the last call of `take_view_changed`.
    is_view_changed: bool,
}

impl Granter {
    /// Creates the granter for the leader of `term` from the grants in the log.
    ///
    /// The lease of every entry counts as renewed at `now`.
    pub fn recover<I>(cfg: Config, source: u32, term: u64, now: time::Monotonic, grants: I) -> Self
    where
        I: IntoIterator<Item = GrantChange>,
    {
        let epoch = term << TERM_SHIFT;
        let (executors, entries) = (BTreeMap::new(), BTreeMap::new());
        let announcements_due_at = now + cfg.get_announce_grace();
        let mut this = Self {
            cfg,
            source,
            epoch,
            announcements_due_at,
            executors,
            entries,
            widely_avoided: BTreeSet::new(),
            changes: Vec::new(),
            is_view_changed: true,
        };
        for grant in grants {
            this.recover_grant(now, &grant);
        }
        this
    }

    /// Handles an executor's announcement, which a running executor repeats.
    ///
    /// An announcement of a lower incarnation is ignored.
    pub fn executor_announced(&mut self, announcement: Announcement) {
        let name = announcement.name.clone();
        let incarnation = announcement.incarnation;
        let known = self.executors.get(&name).map(|executor| executor.incarnation);
        if known.is_some_and(|known| known > incarnation) {
            return;
        }
        if known != Some(incarnation) {
            self.start_incarnation(&name, incarnation);
        }
        if let Some(executor) = self.executors.get_mut(&name) {
            executor.announced = Some(announcement);
            executor.lost = false;
        }
    }

    /// Recalls all grants on an executor that is leaving.
    pub fn executor_leaving(&mut self, name: &id::ExecutorName, incarnation: id::Incarnation) {
        if let Some(executor) = self.executors.get_mut(name)
            && executor.incarnation == incarnation
        {
            executor.leaving = true;
            self.recall_all(name);
        }
    }

    /// Recalls all grants on an executor that no longer announces itself.
    pub fn executor_lost(&mut self, name: &id::ExecutorName, incarnation: id::Incarnation) {
        if let Some(executor) = self.executors.get_mut(name)
            && executor.incarnation == incarnation
        {
            executor.lost = true;
            self.recall_all(name);
        }
    }

    /// Handles an entry's heartbeat and returns whether the entry's lease is renewed.
    ///
    /// A heartbeat of a lower incarnation or sequence number renews nothing.
    pub fn heartbeat(&mut self, now: time::Monotonic, heartbeat: &Heartbeat) -> bool {
        let incarnation = heartbeat.incarnation;
        let entry = self
            .entries
            .entry(heartbeat.entry.clone())
            .or_insert_with(|| EntryState::new(incarnation, now));
        if incarnation < entry.incarnation {
            return false;
        }
        if incarnation > entry.incarnation {
            let request_expiry = now + self.cfg.get_request_expiry();
            let mut ended = mem::take(&mut entry.ended);
            ended.push((entry.incarnation, request_expiry));
            *entry = EntryState::new(incarnation, now);
            entry.ended = ended;
        }
        if heartbeat.sequence < entry.sequence {
            return false;
        }
        entry.sequence = heartbeat.sequence;
        entry.last_heard = now;
        entry.region = Some(heartbeat.region.clone());
        entry.draining = heartbeat.draining;
        entry.avoided = heartbeat.avoided.iter().cloned().collect();
        let demand = heartbeat.demand.iter();
        entry.demand = demand.map(|demand| (demand.service.clone(), demand.slots)).collect();
        let id = (heartbeat.entry.clone(), incarnation);
        for holding in &heartbeat.holdings {
            self.apply_holding(&id, holding);
        }
        self.lower_earlier_grants(&id, heartbeat);
        true
    }

    /// Ends the grants of an entry's earlier incarnation that has no open connection at any
    /// executor.
    pub fn connections_closed(&mut self, name: &id::EntryName, incarnation: id::Incarnation) {
        if let Some(entry) = self.entries.get_mut(name)
            && incarnation < entry.incarnation
        {
            entry.ended.retain(|(ended, _)| *ended != incarnation);
            self.end_grants(&(name.clone(), incarnation));
        }
    }

    /// Ends the grants of an entry's incarnation that runs nothing and will send no more requests.
    pub fn entry_left(&mut self, name: &id::EntryName, incarnation: id::Incarnation) {
        if self.entries.get(name).is_some_and(|entry| entry.incarnation == incarnation) {
            self.entries.remove(name);
            self.end_grants(&(name.clone(), incarnation));
        }
    }

    /// Ends the grants of expired entries, then rebalances the grants to match demand.
    pub fn tick(&mut self, now: time::Monotonic) {
        self.expire(now);
        self.rebalance(now);
        self.executors.retain(|_, executor| !executor.lost || !executor.is_unused());
    }

    /// Takes the changes to propose to the group's log, in the order in which to propose them.
    pub fn take_changes(&mut self) -> Vec<GrantChange> {
        mem::take(&mut self.changes)
    }

    /// Returns whether the entries' tables changed since the last call, and resets the flag.
    pub fn take_view_changed(&mut self) -> bool {
        mem::take(&mut self.is_view_changed)
    }

    /// Sets the longest time for which a request may run.
    pub fn set_longest_deadline(&mut self, longest: Duration) {
        self.cfg = self.cfg.clone().longest_deadline(longest);
    }

    /// Marks a change as committed, so that the entry is shown the slots.
    pub fn committed(&mut self, change: &GrantChange) {
        let id = (change.entry.clone(), change.entry_incarnation);
        if let Some(executor) = self.executors.get_mut(&change.executor)
            && executor.incarnation == change.executor_incarnation
            && let Some(holder) = executor.holders.get_mut(&id)
            && change.epoch >= holder.start_epoch
        {
            holder.committed = change.slots;
            holder.view_epoch = holder.view_epoch.max(change.epoch);
        }
    }

    /// Returns the table of executors for one incarnation of an entry.
    ///
    /// Returns `None` while a new leader still waits for the announcement of an executor that has
    /// grants in the log; entries keep using their present table until then.
    pub fn table(
        &mut self,
        now: time::Monotonic,
        entry: &id::EntryName,
        incarnation: id::Incarnation,
    ) -> Option<router::Table> {
        let is_complete = self.executors.values().all(|executor| executor.announced.is_some());
        if !is_complete && now < self.announcements_due_at {
            return None;
        }
        let version = self.next_epoch();
        let id = (entry.clone(), incarnation);
        let executors = self.executors.values().filter_map(|executor| view(executor, &id));
        Some(router::Table { source: self.source, version, executors: executors.collect() })
    }

    /// Returns the number of an executor's slots that count as granted.
    pub fn granted(&self, name: &id::ExecutorName) -> u32 {
        self.executors.get(name).map_or(0, ExecutorState::granted)
    }
}

impl Granter {
    /// Lowers a recalled grant to the slots that its entry reports under the latest epoch.
    fn apply_holding(&mut self, id: &HolderId, holding: &router::Holding) {
        let Some(executor) = self.executors.get_mut(&holding.executor) else { return };
        if executor.incarnation != holding.incarnation {
            return;
        }
        let Some(holder) = executor.holders.get(id) else { return };
        let is_recalled = holder.target < holder.slots;
        let lower = holding.slots.max(holder.target);
        if is_recalled && holding.epoch == holder.view_epoch && lower < holder.slots {
            self.propose(&holding.executor, id, lower);
        }
    }

    fn recall_all(&mut self, name: &id::ExecutorName) {
        let Some(executor) = self.executors.get(name) else { return };
        let holders: Vec<_> = executor.holders.keys().cloned().collect();
        for id in holders {
            self.recall(name, &id, 0);
        }
    }

    /// Lowers the number of slots that an entry should hold on an executor to `target`.
    pub(super) fn recall(&mut self, name: &id::ExecutorName, id: &HolderId, target: u32) {
        let epoch = self.next_epoch();
        let Some(executor) = self.executors.get_mut(name) else { return };
        let Some(holder) = executor.holders.get_mut(id) else { return };
        if target < holder.target {
            holder.target = target;
            holder.view_epoch = epoch;
            self.is_view_changed = true;
        }
    }

    /// Raises an entry's grant on an executor by `more` slots, cancelling a pending recall first.
    pub(super) fn raise(&mut self, name: &id::ExecutorName, id: &HolderId, more: u32) {
        let epoch = self.next_epoch();
        let Some(executor) = self.executors.get_mut(name) else { return };
        let holder = executor.holders.entry(id.clone()).or_insert(Holder {
            slots: 0,
            committed: 0,
            target: 0,
            start_epoch: epoch,
            view_epoch: executor.base_epoch,
        });
        let restored = more.min(holder.slots - holder.target);
        if restored > 0 {
            holder.target += restored;
            holder.view_epoch = epoch;
            self.is_view_changed = true;
        }
        let new = more - restored;
        if new > 0 {
            let slots = holder.slots + new;
            self.propose(name, id, slots);
        }
    }

    /// Proposes a grant of `slots`, which counts as granted immediately.
    pub(super) fn propose(&mut self, name: &id::ExecutorName, id: &HolderId, slots: u32) {
        let epoch = self.next_epoch();
        let Some(executor) = self.executors.get_mut(name) else { return };
        let Some(holder) = executor.holders.get_mut(id) else { return };
        let was_recalled = slots < holder.slots;
        holder.target = if was_recalled { holder.target.min(slots) } else { slots };
        holder.slots = slots;
        holder.committed = holder.committed.min(slots);
        let executor_incarnation = executor.incarnation;
        if slots == 0 {
            executor.holders.remove(id);
            executor.base_epoch = epoch;
        }
        self.changes.push(GrantChange {
            executor: name.clone(),
            executor_incarnation,
            entry: id.0.clone(),
            entry_incarnation: id.1,
            slots,
            epoch,
        });
    }

    pub(super) fn next_epoch(&mut self) -> u64 {
        self.epoch += 1;
        self.epoch
    }
}

fn view(executor: &ExecutorState, id: &HolderId) -> Option<router::ExecutorView> {
    let announced = executor.announced.as_ref()?;
    let holder = executor.holders.get(id);
    let slots = holder.map_or(0, Holder::visible_slots);
    let per_slot = announced.connections / announced.slots.max(1);
    Some(router::ExecutorView {
        name: announced.name.clone(),
        incarnation: executor.incarnation,
        service: announced.service.clone(),
        address: announced.address,
        region: announced.region.clone(),
        zone: announced.zone.clone(),
        slots,
        connections: slots * per_slot.max(1),
        epoch: holder.map_or(executor.base_epoch, |holder| holder.view_epoch),
        leaving: executor.leaving || executor.lost,
    })
}
