use std::collections::HashSet;
use std::mem;

use comfreymill_types::id;
use comfreymill_types::time;

use super::executor::Executor;
use super::health::Health;
use super::router::Router;
use super::{ExecutorView, Holding, Table};

/// # Tables of executors and leases
impl Router {
    /// Replaces the table of a group; a table older than the last one is ignored.
    pub fn update_executors(&mut self, now: time::Monotonic, table: Table) {
        let last = self.table_versions.entry(table.source).or_default();
        if table.version < *last {
            return;
        }
        *last = table.version;
        let had_members: Vec<_> = self.pools.iter().map(|pool| !pool.members.is_empty()).collect();
        let missing = self.missing(&table);
        for ix in missing {
            self.retire(now, ix);
        }
        for view in table.executors {
            self.apply_view(now, table.source, view, &had_members);
        }
        for pool in 0..self.pools.len() {
            self.recount(pool);
            self.dispatch(now, pool);
        }
    }

    /// Allows the use of a group's grants until `until`.
    ///
    /// Grants of a group without a lease have no time limit. The I/O layer passes the time at which
    /// it sent the heartbeat that was answered, plus the lease duration, so that the entry stops
    /// using the slots before the leader grants them to another entry.
    pub fn set_lease(&mut self, now: time::Monotonic, source: u32, until: time::Monotonic) {
        self.leases.insert(source, until);
        let indices: Vec<_> = self.of_source(source).collect();
        for ix in indices {
            self.executors[ix].leased = now < until;
            self.reindex(now, ix);
        }
        for pool in 0..self.pools.len() {
            self.dispatch(now, pool);
        }
    }

    /// Returns the slots of a group's executors that this entry may still use, for the heartbeat.
    pub fn holdings(&self, source: u32) -> Vec<Holding> {
        let of_group = self.executors.iter().filter(|executor| executor.source == source);
        of_group
            .filter(|executor| executor.held_slots() > 0 || executor.view.epoch > 0)
            .filter(|executor| !executor.removed || executor.in_use() > 0)
            .map(holding)
            .collect()
    }

    /// Returns the holdings whose slots or epoch changed since the last call.
    ///
    /// If there are any, a heartbeat should be sent immediately.
    pub fn take_changed_holdings(&mut self, _now: time::Monotonic) -> Vec<Holding> {
        let mut changed = Vec::new();
        for executor in &mut self.executors {
            let present = (executor.view.epoch, executor.held_slots());
            if executor.reported != Some(present) && present.0 > 0 {
                executor.reported = Some(present);
                changed.push(holding(executor));
            }
        }
        changed
    }

    /// Returns the executors of a group that this entry has ejected, for the heartbeat.
    pub fn avoided(&self, source: u32) -> Vec<id::ExecutorName> {
        let of_group = self.of_source(source).map(|ix| &self.executors[ix]);
        let ejected = of_group.filter(|executor| executor.health != Health::Serving);
        ejected.map(|executor| executor.name().clone()).collect()
    }

    fn missing(&self, table: &Table) -> Vec<usize> {
        let names: HashSet<_> = table.executors.iter().map(|view| &view.name).collect();
        let listed = |ix: &usize| names.contains(self.executors[*ix].name());
        self.of_source(table.source).filter(|ix| !listed(ix)).collect()
    }

    fn apply_view(
        &mut self,
        now: time::Monotonic,
        source: u32,
        view: ExecutorView,
        had_members: &[bool],
    ) {
        let known =
            self.executor_by_name.get(&view.name).copied().or_else(|| self.find_removed(&view));
        if let Some(ix) = known {
            let present = &mut self.executors[ix];
            if present.source != source || view.epoch < present.view.epoch {
                return;
            }
            if present.view.incarnation == view.incarnation {
                self.update_executor(now, ix, view);
                return;
            }
            self.retire(now, ix);
        }
        self.add(now, source, view, had_members);
    }

    /// Returns the executor of the same incarnation that was removed from the table and still has
    /// requests.
    fn find_removed(&self, view: &ExecutorView) -> Option<usize> {
        self.executors.iter().position(|executor| {
            let is_same =
                executor.view.name == view.name && executor.view.incarnation == view.incarnation;
            is_same && executor.removed && executor.in_use() > 0
        })
    }

    fn update_executor(&mut self, now: time::Monotonic, ix: usize, view: ExecutorView) {
        let executor = &mut self.executors[ix];
        let was_removed = mem::replace(&mut executor.removed, false);
        executor.leased = self.leases.get(&executor.source).is_none_or(|until| now < *until);
        executor.view = view;
        if was_removed {
            let name = executor.name().clone();
            let pool = executor.pool;
            self.executor_by_name.insert(name, ix);
            self.pools[pool].members.push(ix);
        }
        self.reindex(now, ix);
    }

    fn add(&mut self, now: time::Monotonic, source: u32, view: ExecutorView, had_members: &[bool]) {
        let pool = self.pool_index(&view.service);
        let name = view.name.clone();
        let mut executor = Executor::new(&self.cfg, view, pool, source);
        executor.leased = self.leases.get(&source).is_none_or(|until| now < *until);
        if had_members.get(pool).copied().unwrap_or(false) {
            executor.slow_start_end = now + self.cfg.get_slow_start();
        }
        let ix = if let Some(ix) = self.free_indices.pop() {
            self.executors[ix] = executor;
            ix
        } else {
            self.executors.push(executor);
            self.executors.len() - 1
        };
        self.pools[pool].members.push(ix);
        self.executor_by_name.insert(name, ix);
        self.reindex(now, ix);
    }

    /// Removes an executor from its pool; the requests that run there continue.
    fn retire(&mut self, now: time::Monotonic, ix: usize) {
        self.executors[ix].removed = true;
        let name = self.executors[ix].name().clone();
        if self.executor_by_name.get(&name) == Some(&ix) {
            self.executor_by_name.remove(&name);
        }
        let pool = self.executors[ix].pool;
        self.pools[pool].members.retain(|member| *member != ix);
        self.reindex(now, ix);
        self.reclaim_if_idle(ix);
    }

    /// Frees the index of an executor that is removed and has no requests.
    pub(super) fn reclaim_if_idle(&mut self, ix: usize) {
        let executor = &self.executors[ix];
        if executor.removed && executor.in_use() == 0 && !self.free_indices.contains(&ix) {
            self.free_indices.push(ix);
        }
    }

    /// Recounts the pool's executors in service, their slots and the ejected ones.
    pub(super) fn recount(&mut self, pool: usize) {
        let pool = &mut self.pools[pool];
        pool.local_serving = 0;
        pool.local_slots = 0;
        pool.remote_serving = 0;
        pool.remote_slots = 0;
        pool.ejected = 0;
        for ix in &pool.members {
            let executor = &self.executors[*ix];
            if executor.health != Health::Serving {
                pool.ejected += 1;
            }
            if !executor.is_serving() {
                continue;
            }
            if executor.remote {
                pool.remote_serving += 1;
                pool.remote_slots += executor.view.slots;
            } else {
                pool.local_serving += 1;
                pool.local_slots += executor.view.slots;
            }
        }
    }

    /// Stops the use of grants whose lease has expired.
    pub(super) fn expire_leases(&mut self, now: time::Monotonic) {
        let expired = self.leases.iter().filter(|(_, until)| now >= **until);
        let expired: Vec<u32> = expired.map(|(source, _)| *source).collect();
        for source in expired {
            let leased = self.of_source(source).filter(|ix| self.executors[*ix].leased);
            let leased: Vec<_> = leased.collect();
            for ix in leased {
                self.executors[ix].leased = false;
                self.reindex(now, ix);
            }
        }
    }

    fn of_source(&self, source: u32) -> impl Iterator<Item = usize> {
        let all = self.executors.iter().enumerate();
        all.filter(move |(_, executor)| executor.source == source && !executor.removed)
            .map(|(ix, _)| ix)
    }

    /// Returns whether the present table of any group lists an executor of this name.
    pub fn is_known(&self, name: &id::ExecutorName) -> bool {
        self.executor_by_name.contains_key(name)
    }
}

fn holding(executor: &Executor) -> Holding {
    Holding {
        executor: executor.name().clone(),
        incarnation: executor.view.incarnation,
        epoch: executor.view.epoch,
        slots: executor.held_slots(),
    }
}
