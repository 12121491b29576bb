use comfreymill_types::id;
use comfreymill_types::time;

use super::entry_state::EntryState;
use super::executor_state::{ExecutorState, Holder, HolderId};
use super::granter::Granter;
use super::{GrantChange, Heartbeat};
use crate::router;

/// # Incarnations of executors and entries
impl Granter {
    pub(super) fn recover_grant(&mut self, now: time::Monotonic, grant: &GrantChange) {
        let (base_epoch, view_epoch) = (self.next_epoch(), self.next_epoch());
        let entry = self
            .entries
            .entry(grant.entry.clone())
            .or_insert_with(|| EntryState::new(grant.entry_incarnation, now));
        if grant.entry_incarnation > entry.incarnation {
            entry.ended.push((entry.incarnation, now + self.cfg.get_expiry()));
            entry.incarnation = grant.entry_incarnation;
        } else if grant.entry_incarnation < entry.incarnation
            && !entry.ended.iter().any(|(ended, _)| *ended == grant.entry_incarnation)
        {
            entry.ended.push((grant.entry_incarnation, now + self.cfg.get_expiry()));
        }
        let executor = self
            .executors
            .entry(grant.executor.clone())
            .or_insert_with(|| ExecutorState::new(grant.executor_incarnation, base_epoch));
        let slots = grant.slots;
        if slots == 0 {
            return;
        }
        let id = (grant.entry.clone(), grant.entry_incarnation);
        if grant.executor_incarnation < executor.incarnation {
            executor.earlier.insert((id, grant.executor_incarnation), slots);
            return;
        }
        if grant.executor_incarnation > executor.incarnation {
            *executor = executor.next_incarnation(grant.executor_incarnation, base_epoch);
        }
        let start_epoch = view_epoch;
        let holder = Holder { slots, committed: slots, target: slots, start_epoch, view_epoch };
        executor.holders.insert(id, holder);
    }

    pub(super) fn expire(&mut self, now: time::Monotonic) {
        let expiry = self.cfg.get_expiry();
        let mut expired = Vec::new();
        for (name, entry) in &mut self.entries {
            if now.since(entry.last_heard) >= expiry {
                expired.push((name.clone(), entry.incarnation));
            }
            let ended = entry.ended.iter().filter(|(_, request_expiry)| now >= *request_expiry);
            expired.extend(ended.map(|(incarnation, _)| (name.clone(), *incarnation)));
            entry.ended.retain(|(_, request_expiry)| now < *request_expiry);
        }
        for id in expired {
            self.end_grants(&id);
        }
        self.entries
            .retain(|_, entry| now.since(entry.last_heard) < expiry || !entry.ended.is_empty());
    }

    pub(super) fn end_grants(&mut self, id: &HolderId) {
        let held = self.executors.iter().filter(|(_, state)| state.holders.contains_key(id));
        let held: Vec<_> = held.map(|(name, _)| name.clone()).collect();
        for name in held {
            self.propose(&name, id, 0);
        }
        let earlier_grants = |(name, state): (&id::ExecutorName, &ExecutorState)| {
            let of_holder = state.earlier.keys().filter(|(holder, _)| holder == id);
            of_holder.map(|(_, incarnation)| (name.clone(), *incarnation)).collect::<Vec<_>>()
        };
        let earlier: Vec<_> = self.executors.iter().flat_map(earlier_grants).collect();
        for (name, incarnation) in earlier {
            self.set_earlier_grant(&name, id, incarnation, 0);
        }
    }

    /// Starts a new incarnation of an executor.
    ///
    /// Grants on the previous incarnation still count until their entries stop using them.
    pub(super) fn start_incarnation(
        &mut self,
        name: &id::ExecutorName,
        incarnation: id::Incarnation,
    ) {
        let epoch = self.next_epoch();
        let next = match self.executors.get(name) {
            Some(before) => before.next_incarnation(incarnation, epoch),
            None => ExecutorState::new(incarnation, epoch),
        };
        self.executors.insert(name.clone(), next);
    }

    /// Lowers an entry's grants on earlier incarnations to the slots that it reports as still used.
    pub(super) fn lower_earlier_grants(&mut self, id: &HolderId, heartbeat: &Heartbeat) {
        let mut ended = Vec::new();
        for holding in &heartbeat.holdings {
            let Some(executor) = self.executors.get(&holding.executor) else { continue };
            if executor.incarnation != holding.incarnation {
                continue;
            }
            let earlier = executor.earlier.iter().filter(|((holder, _), _)| holder == id);
            ended.extend(
                earlier.map(|((_, incarnation), slots)| {
                    (holding.executor.clone(), *incarnation, *slots)
                }),
            );
        }
        for (name, incarnation, slots) in ended {
            let same = |h: &&router::Holding| h.executor == name && h.incarnation == incarnation;
            let left = heartbeat.holdings.iter().find(same).map_or(0, |holding| holding.slots);
            if left < slots {
                self.set_earlier_grant(&name, id, incarnation, left);
            }
        }
    }

    pub(super) fn set_earlier_grant(
        &mut self,
        name: &id::ExecutorName,
        id: &HolderId,
        incarnation: id::Incarnation,
        slots: u32,
    ) {
        let epoch = self.next_epoch();
        let Some(executor) = self.executors.get_mut(name) else { return };
        let key = (id.clone(), incarnation);
        if slots == 0 {
            executor.earlier.remove(&key);
        } else {
            executor.earlier.insert(key, slots);
        }
        self.changes.push(GrantChange {
            executor: name.clone(),
            executor_incarnation: incarnation,
            entry: id.0.clone(),
            entry_incarnation: id.1,
            slots,
            epoch,
        });
    }
}
