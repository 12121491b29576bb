use std::collections::{BTreeMap, BTreeSet};
use std::mem;
use std::time::Duration;

use comfreymill_types::id;
use comfreymill_types::time;

use super::entry_state::EntryState;
use super::executor_state::{ExecutorState, Holder, HolderId};
use super::{Announcement, Config, GrantChange, Heartbeat};
use crate::router;

const TERM_SHIFT: u32 = 32;

/// Granter of one group, made anew by each leader.
#[derive(Debug)]
pub struct Granter {
    pub(super) cfg: Config,
    source: u32,
    epoch: u64,
    /// When all living executors have announced themselves to this leader.
    complete_at: time::Monotonic,
    pub(super) executors: BTreeMap<id::ExecutorName, ExecutorState>,
    pub(super) entries: BTreeMap<id::EntryName, EntryState>,
    /// Executors that most entries have ejected, as of the last plan.
    pub(super) shunned: BTreeSet<id::ExecutorName>,
    pub(super) changes: Vec<GrantChange>,
    /// Whether a grant was recalled, or a recall ended, since the shell last looked.
    is_view_changed: bool,
}

impl Granter {
    /// Granter of the leader of `term`, with the grants that the log holds.
    ///
    /// Each entry's lease counts as renewed now.
    pub fn recover<I>(cfg: Config, source: u32, term: u64, now: time::Monotonic, grants: I) -> Self
    where
        I: IntoIterator<Item = GrantChange>,
    {
        let epoch = term << TERM_SHIFT;
        let (executors, entries) = (BTreeMap::new(), BTreeMap::new());
        let complete_at = now + cfg.get_announce_grace();
        let mut this = Self {
            cfg,
            source,
            epoch,
            complete_at,
            executors,
            entries,
            shunned: BTreeSet::new(),
            changes: Vec::new(),
            is_view_changed: true,
        };
        for grant in grants {
            this.recover_grant(now, &grant);
        }
        this
    }

    /// Takes an executor's announcement, which is repeated while it lives.
    pub fn announced(&mut self, announcement: Announcement) {
        let name = announcement.name.clone();
        let incarnation = announcement.incarnation;
        let known = self.executors.get(&name).map(|executor| executor.incarnation);
        if known.is_some_and(|known| known > incarnation) {
            return;
        }
        if known != Some(incarnation) {
            self.start_life(&name, incarnation);
        }
        if let Some(executor) = self.executors.get_mut(&name) {
            executor.announced = Some(announcement);
            executor.gone = false;
        }
    }

    /// Takes word that an executor is leaving; its grants are recalled.
    pub fn leaving(&mut self, name: &id::ExecutorName, incarnation: id::Incarnation) {
        if let Some(executor) = self.executors.get_mut(name)
            && executor.incarnation == incarnation
        {
            executor.leaving = true;
            self.recall_all(name);
        }
    }

    /// Takes word that an executor no longer announces itself.
    pub fn gone(&mut self, name: &id::ExecutorName, incarnation: id::Incarnation) {
        if let Some(executor) = self.executors.get_mut(name)
            && executor.incarnation == incarnation
        {
            executor.gone = true;
            self.recall_all(name);
        }
    }

    /// Takes an entry's heartbeat; returns whether its lease is renewed.
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
            let run_out = now + self.cfg.get_run_out();
            let mut ended = mem::take(&mut entry.ended);
            ended.push((entry.incarnation, run_out));
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
            self.returned(&id, holding);
        }
        self.moved_on(&id, heartbeat);
        true
    }

    /// Takes word that no connection of an ended life of an entry is open at any executor.
    pub fn connections_closed(&mut self, name: &id::EntryName, incarnation: id::Incarnation) {
        if let Some(entry) = self.entries.get_mut(name)
            && incarnation < entry.incarnation
        {
            entry.ended.retain(|(ended, _)| *ended != incarnation);
            self.drop_entry(&(name.clone(), incarnation));
        }
    }

    /// Takes word that nothing of a life of an entry runs or ever will; its grants end.
    pub fn left(&mut self, name: &id::EntryName, incarnation: id::Incarnation) {
        if self.entries.get(name).is_some_and(|entry| entry.incarnation == incarnation) {
            self.entries.remove(name);
            self.drop_entry(&(name.clone(), incarnation));
        }
    }

    /// Ends the grants of entries that can no longer use them, and follows demand.
    pub fn tick(&mut self, now: time::Monotonic) {
        self.expire(now);
        self.follow_demand(now);
        self.executors.retain(|_, executor| !executor.gone || !executor.is_unused());
    }

    /// Takes the changes to propose to the group's log, in their order.
    pub fn take_changes(&mut self) -> Vec<GrantChange> {
        mem::take(&mut self.changes)
    }

    /// Whether entries are to be shown other tables than before the last call.
    pub fn take_is_view_changed(&mut self) -> bool {
        mem::take(&mut self.is_view_changed)
    }

    /// Sets the longest time that a request may run from now on.
    pub fn longest_deadline(&mut self, longest: Duration) {
        self.cfg = self.cfg.clone().longest_deadline(longest);
    }

    /// Takes word that a change was committed.
    pub fn committed(&mut self, change: &GrantChange) {
        let id = (change.entry.clone(), change.entry_incarnation);
        if let Some(executor) = self.executors.get_mut(&change.executor)
            && executor.incarnation == change.executor_incarnation
            && let Some(holder) = executor.holders.get_mut(&id)
            && change.epoch >= holder.began
        {
            holder.committed = change.slots;
            holder.view_epoch = holder.view_epoch.max(change.epoch);
        }
    }

    /// Table of executors as shown to one life of an entry.
    ///
    /// There is none while a new leader still waits for executors to announce themselves that hold
    /// grants in the log; entries then go on with the table they have.
    pub fn table(
        &mut self,
        now: time::Monotonic,
        entry: &id::EntryName,
        incarnation: id::Incarnation,
    ) -> Option<router::Table> {
        let is_complete = self.executors.values().all(|executor| executor.announced.is_some());
        if !is_complete && now < self.complete_at {
            return None;
        }
        let version = self.next_epoch();
        let id = (entry.clone(), incarnation);
        let executors = self.executors.values().filter_map(|executor| view(executor, &id));
        Some(router::Table { source: self.source, version, executors: executors.collect() })
    }

    /// Slots of an executor that count as granted.
    pub fn granted(&self, name: &id::ExecutorName) -> u32 {
        self.executors.get(name).map_or(0, ExecutorState::granted)
    }
}

impl Granter {
    /// Lowers a grant to what its entry says it still uses under the latest epoch.
    fn returned(&mut self, id: &HolderId, holding: &router::Holding) {
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

    /// Asks an entry to lower its use of an executor to `target`.
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

    /// Gives an entry `more` slots of an executor; slots under recall are left to it first.
    pub(super) fn raise(&mut self, name: &id::ExecutorName, id: &HolderId, more: u32) {
        let epoch = self.next_epoch();
        let Some(executor) = self.executors.get_mut(name) else { return };
        let holder = executor.holders.entry(id.clone()).or_insert(Holder {
            slots: 0,
            committed: 0,
            target: 0,
            began: epoch,
            view_epoch: executor.base_epoch,
        });
        let kept = more.min(holder.slots - holder.target);
        if kept > 0 {
            holder.target += kept;
            holder.view_epoch = epoch;
            self.is_view_changed = true;
        }
        let new = more - kept;
        if new > 0 {
            let slots = holder.slots + new;
            self.propose(name, id, slots);
        }
    }

    /// Proposes a grant of `slots`, which counts from now on.
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
    let slots = holder.map_or(0, Holder::shown);
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
        leaving: executor.leaving || executor.gone,
    })
}
