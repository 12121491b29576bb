use std::time::Duration;

use comfreymill_types::document;
use comfreymill_types::error;
use comfreymill_types::time;
use rand::RngExt as _;

use super::pool::Constraints;
use super::request::{Request, RequestState};
use super::router::Router;
use super::{Action, Step};

const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// # Selection and dispatch
impl Router {
    /// Chooses an executor with a free slot for a request, if one may be used.
    ///
    /// An executor in another region is chosen only if the entry's region is unlikely to answer
    /// within the deadline.
    pub(super) fn choose(&mut self, now: time::Monotonic, req: &Request) -> Option<usize> {
        let class = &self.classes[req.class];
        let pool_ix = class.pool;
        let only_one = self.pools[pool_ix].members.len() <= 1;
        let constraints = Constraints {
            rule: &class.rule,
            unrestricted: class.is_unrestricted(),
            avoid: req.avoid.filter(|_| !only_one),
            excludes_trial: req.unrepeatable,
        };
        let policy = self.cfg.get_policy();
        let local = &mut self.pools[pool_ix].local;
        let choice = local.choose(policy, &self.executors, constraints, &mut self.rng);
        if choice.is_some() || self.pools[pool_ix].remote.len() == 0 {
            return choice;
        }
        if self.local_region_can_serve(now, req) {
            return None;
        }
        let remote = &mut self.pools[pool_ix].remote;
        remote.choose(policy, &self.executors, constraints, &mut self.rng)
    }

    /// Returns whether an executor in the entry's region is likely to answer within the deadline.
    fn local_region_can_serve(&self, now: time::Monotonic, req: &Request) -> bool {
        let class = &self.classes[req.class];
        let pool = &self.pools[class.pool];
        let has_local = if class.is_unrestricted() {
            pool.local_serving > 0
        } else {
            let members = pool.members.iter().map(|ix| &self.executors[*ix]);
            members
                .filter(|executor| !executor.remote && executor.is_serving())
                .any(|executor| class.rule.allows(&executor.view.region, &executor.view.zone))
        };
        let wait = self.estimated_wait_micros(class.pool, class.priority, req);
        let left = req.deadline.since(now).as_micros() as f64;
        has_local && wait + class.likely_latency_micros() <= left
    }

    /// Estimates how long a request would wait in the queue, in microseconds.
    pub(super) fn estimated_wait_micros(
        &self,
        pool: usize,
        priority: document::Priority,
        req: &Request,
    ) -> f64 {
        let pool = &self.pools[pool];
        let share_of = |team: &_| self.team_share(team);
        let ahead = pool.queue.requests_ahead(priority, &req.team, req.deadline, share_of);
        let slots = if pool.local_serving > 0 { pool.local_slots } else { pool.remote_slots };
        if slots == 0 {
            return self.cfg.get_grant_wait().as_micros() as f64;
        }
        let slots = pool.slots_left_by_higher(slots, priority);
        (ahead + 1.0) * pool.service_time.get_mean() / slots
    }

    /// Checks that at least one executor in service may run the class.
    pub(super) fn check_reachable(&self, pool: usize, class: usize) -> Result<(), error::Error> {
        let pool = &self.pools[pool];
        let class = &self.classes[class];
        let is_served = if class.is_unrestricted() {
            pool.local_serving + pool.remote_serving > 0
        } else {
            let members = pool.members.iter().map(|ix| &self.executors[*ix]);
            members
                .filter(|executor| executor.is_serving())
                .any(|executor| class.rule.allows(&executor.view.region, &executor.view.zone))
        };
        if is_served {
            return Ok(());
        }
        let message = format!("no executor of service {} can be reached", pool.service);
        let error = error::Error::new(error::ErrorKind::NoExecutor, message);
        Err(error.retry_after(UNREACHABLE_RETRY_AFTER))
    }

    /// Records that an attempt of `request` is sent to the executor, and returns its number.
    pub(super) fn start_attempt(&mut self, now: time::Monotonic, request: u64, ix: usize) -> u32 {
        let Some(req) = self.requests.get_mut(&request) else { return 0 };
        req.attempt += 1;
        req.state = RequestState::Running { executor: ix, since: now };
        let attempt = req.attempt;
        let class = &self.classes[req.class];
        let share = self.shares.get(&req.team).copied().unwrap_or(1);
        let pool = &mut self.pools[class.pool];
        pool.queue.charge(class.priority, &req.team, share);
        pool.count_sent(class.priority);
        pool.in_use += 1;
        let executor = &mut self.executors[ix];
        let step = Step::Sent {
            at: now,
            executor: executor.name().clone(),
            incarnation: executor.view.incarnation,
            attempt,
            cost: executor.cost_key.map_or(0, |key| key.0),
            in_use: executor.in_use(),
            candidates: pool.local.len(),
            remote: executor.remote,
        };
        executor.running.push((request, now));
        self.history.add(request, step);
        self.reindex(now, ix);
        attempt
    }

    /// Updates an executor in the index of those with a free slot.
    pub(super) fn reindex(&mut self, now: time::Monotonic, ix: usize) {
        let tie = self.rng.random();
        let executor = &mut self.executors[ix];
        let candidates = self.pools[executor.pool].candidates_mut(executor.remote);
        if executor.in_use() < executor.slot_limit(&self.cfg, now) {
            let cost = executor.cost(&self.cfg, now);
            candidates.insert(ix, executor, cost, tie);
        } else if let Some((moved, position)) = candidates.remove(ix, executor) {
            self.executors[moved].position = Some(position);
        }
    }

    /// Sends the pool's queued requests while slots are free.
    pub(super) fn dispatch(&mut self, now: time::Monotonic, pool: usize) {
        self.expire_leases(now);
        let mut blocked = Vec::new();
        while self.has_free_slot(pool) {
            let Some(next) = self.pools[pool].queue.first(&blocked) else { break };
            if self.refuse_if_late(now, &next) {
                continue;
            }
            let Some(req) = self.requests.remove(&next.request) else {
                self.dequeue(&next);
                continue;
            };
            let choice = self.choose(now, &req);
            self.requests.insert(next.request, req);
            let Some(ix) = choice else {
                blocked.push(next.class);
                continue;
            };
            self.dequeue(&next);
            let attempt = self.start_attempt(now, next.request, ix);
            let view = &self.executors[ix].view;
            self.actions.push(Action::Send {
                request: next.request,
                executor: view.name.clone(),
                address: view.address,
                attempt,
            });
        }
    }

    fn has_free_slot(&self, pool: usize) -> bool {
        self.pools[pool].local.len() + self.pools[pool].remote.len() > 0
    }
}
