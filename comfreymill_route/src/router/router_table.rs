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
    pub fn executors(&mut self, now: time::Monotonic, table: Table) {
        let last = self.versions.entry(table.source).or_default();
        if table.version < *last {
            return;
        }
        *last = table.version;
        let is_grown: Vec<_> = self.pools.iter().map(|pool| !pool.members.is_empty()).collect();
        let missing = self.missing(&table);
        for ix in missing {
            self.retire(now, ix);
        }
        for view in table.executors {
            self.take_view(now, table.source, view, &is_grown);
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
    pub fn lease(&mut self, now: time::Monotonic, source: u32, until: time::Monotonic) {
        self.leases.insert(source, until);
        let mine: Vec<_> = self.of_source(source).collect();
        for ix in mine {
            self.executors[ix].leased = now < until;
            self.reindex(now, ix);
        }
        for pool in 0..self.pools.len() {
            self.dispatch(now, pool);
        }
    }

    /// Returns the slots of a group's executors that this entry may still use, for the heartbeat.
    pub fn holdings(&self, source: u32) -> Vec<Holding> {
        let mine = self.executors.iter().filter(|executor| executor.source == source);
        mine.filter(|executor| executor.held() > 0 || executor.view.epoch > 0)
            .filter(|executor| !executor.gone || executor.in_use() > 0)
            .map(holding)
            .collect()
    }

    /// Returns the holdings whose slots or epoch changed since the last call.
    ///
    /// If there are any, a heartbeat should be sent immediately.
    pub fn returnable(&mut self, _now: time::Monotonic) -> Vec<Holding> {
        let mut changed = Vec::new();
        for executor in &mut self.executors {
            let present = (executor.view.epoch, executor.held());
            if executor.reported != Some(present) && present.0 > 0 {
                executor.reported = Some(present);
                changed.push(holding(executor));
            }
        }
        changed
    }

    /// Returns the executors of a group that this entry has ejected, for the heartbeat.
    pub fn avoided(&self, source: u32) -> Vec<id::ExecutorName> {
        let mine = self.of_source(source).map(|ix| &self.executors[ix]);
        let ejected = mine.filter(|executor| executor.health != Health::Serving);
        ejected.map(|executor| executor.name().clone()).collect()
    }

    fn missing(&self, table: &Table) -> Vec<usize> {
        let names: HashSet<_> = table.executors.iter().map(|view| &view.name).collect();
        let listed = |ix: &usize| names.contains(self.executors[*ix].name());
        self.of_source(table.source).filter(|ix| !listed(ix)).collect()
    }

    fn take_view(
        &mut self,
        now: time::Monotonic,
        source: u32,
        view: ExecutorView,
        is_grown: &[bool],
    ) {
        let known = self.by_name.get(&view.name).copied().or_else(|| self.departed(&view));
        if let Some(ix) = known {
            let present = &mut self.executors[ix];
            if present.source != source || view.epoch < present.view.epoch {
                return;
            }
            if present.view.incarnation == view.incarnation {
                self.renew(now, ix, view);
                return;
            }
            self.retire(now, ix);
        }
        self.add(now, source, view, is_grown);
    }

    /// Returns the executor of the same incarnation that was removed from the table and still has
    /// requests.
    fn departed(&self, view: &ExecutorView) -> Option<usize> {
        self.executors.iter().position(|executor| {
            let is_same =
                executor.view.name == view.name && executor.view.incarnation == view.incarnation;
            is_same && executor.gone && executor.in_use() > 0
        })
    }

    fn renew(&mut self, now: time::Monotonic, ix: usize, view: ExecutorView) {
        let executor = &mut self.executors[ix];
        let was_gone = mem::replace(&mut executor.gone, false);
        executor.leased = self.leases.get(&executor.source).is_none_or(|until| now < *until);
        executor.view = view;
        if was_gone {
            let name = executor.name().clone();
            let pool = executor.service;
            self.by_name.insert(name, ix);
            self.pools[pool].members.push(ix);
        }
        self.reindex(now, ix);
    }

    fn add(&mut self, now: time::Monotonic, source: u32, view: ExecutorView, is_grown: &[bool]) {
        let pool = self.pool_of(&view.service);
        let name = view.name.clone();
        let mut executor = Executor::new(&self.cfg, view, pool, source);
        executor.leased = self.leases.get(&source).is_none_or(|until| now < *until);
        if is_grown.get(pool).copied().unwrap_or(false) {
            executor.warm_at = now + self.cfg.get_slow_start();
        }
        let ix = if let Some(ix) = self.unused.pop() {
            self.executors[ix] = executor;
            ix
        } else {
            self.executors.push(executor);
            self.executors.len() - 1
        };
        self.pools[pool].members.push(ix);
        self.by_name.insert(name, ix);
        self.reindex(now, ix);
    }

    /// Removes an executor from its pool; the requests that run there continue.
    fn retire(&mut self, now: time::Monotonic, ix: usize) {
        self.executors[ix].gone = true;
        let name = self.executors[ix].name().clone();
        if self.by_name.get(&name) == Some(&ix) {
            self.by_name.remove(&name);
        }
        let pool = self.executors[ix].service;
        self.pools[pool].members.retain(|member| *member != ix);
        self.reindex(now, ix);
        self.forget_if_idle(ix);
    }

    /// Frees the index of an executor that is removed and has no requests.
    pub(super) fn forget_if_idle(&mut self, ix: usize) {
        let executor = &self.executors[ix];
        if executor.gone && executor.in_use() == 0 && !self.unused.contains(&ix) {
            self.unused.push(ix);
        }
    }

    /// Recounts the pool's executors in service, their slots and the ejected ones.
    pub(super) fn recount(&mut self, pool: usize) {
        let pool = &mut self.pools[pool];
        pool.own_serving = 0;
        pool.own_slots = 0;
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
                pool.own_serving += 1;
                pool.own_slots += executor.view.slots;
            }
        }
    }

    /// Stops the use of grants whose lease has expired.
    pub(super) fn expire_leases(&mut self, now: time::Monotonic) {
        let over = self.leases.iter().filter(|(_, until)| now >= **until);
        let over: Vec<u32> = over.map(|(source, _)| *source).collect();
        for source in over {
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
        all.filter(move |(_, executor)| executor.source == source && !executor.gone)
            .map(|(ix, _)| ix)
    }

    /// Returns whether the present table of any group lists an executor of this name.
    pub fn is_known(&self, name: &id::ExecutorName) -> bool {
        self.by_name.contains_key(name)
    }
}

fn holding(executor: &Executor) -> Holding {
    Holding {
        executor: executor.name().clone(),
        incarnation: executor.view.incarnation,
        epoch: executor.view.epoch,
        slots: executor.held(),
    }
}
