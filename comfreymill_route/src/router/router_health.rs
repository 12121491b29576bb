use std::time::Duration;

use comfreymill_types::id;
use comfreymill_types::time;

use super::Action;
use super::estimate::Estimate;
use super::health::Health;
use super::request::RequestState;
use super::router::Router;

/// Minimum number of latency samples before an executor is ejected as slow.
const MIN_SLOW_SAMPLES: u32 = 5;
/// Minimum excess over the usual latency before an executor is ejected as slow, in microseconds.
const MIN_SLOW_EXCESS_MICROS: f64 = 3_000.0;
/// Number of consecutive successes after which earlier ejections no longer count.
const SUCCESSES_TO_RESET_EJECTIONS: u32 = 50;
/// Weight of a new sample in the latency ratio.
const LATENCY_RATIO_WEIGHT: f64 = 0.2;
/// Interval at which the latency ratios of idle executors decay.
const DECAY_PERIOD: Duration = Duration::from_secs(1);
/// Share of the difference to the usual latency by which a ratio decays per period.
const DECAY_SHARE: f64 = 0.05;
/// Time without requests and samples after which an executor counts as idle.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// # Health of executors
impl Router {
    /// Handles the result of a health probe on a new connection.
    pub fn probed(&mut self, now: time::Monotonic, name: &id::ExecutorName, is_healthy: bool) {
        let Some(ix) = self.executor_by_name.get(name).copied() else { return };
        match (self.executors[ix].health, is_healthy) {
            (Health::Probing { .. }, true) => self.set_health(now, ix, Health::Trial),
            (Health::Probing { .. } | Health::Serving, false) => self.eject(now, ix),
            _ => return,
        }
        self.dispatch(now, self.executors[ix].pool);
    }

    /// Expires ejections, held slots and leases, refuses requests that waited too long, and
    /// dispatches the queues.
    pub fn tick(&mut self, now: time::Monotonic) {
        self.expire_leases(now);
        self.expire_unresolved(now);
        for ix in 0..self.executors.len() {
            self.tick_executor(now, ix);
        }
        if now.since(self.last_decay) >= DECAY_PERIOD {
            self.last_decay = now;
            self.decay(now);
        }
        let span = now.since(self.last_tick);
        self.last_tick = now;
        for pool in 0..self.pools.len() {
            self.pools[pool].sample_load(span);
            self.expire_queue(now, pool);
            self.dispatch(now, pool);
            self.bypass_slow_starts(now, pool);
            self.pools[pool].queue.remove_idle_teams();
            self.signal_demand_growth(pool);
        }
    }

    /// Records a success of an executor.
    ///
    /// `ratio` is its latency relative to the class's `usual` latency, which is in microseconds.
    pub(super) fn record_success(
        &mut self,
        now: time::Monotonic,
        ix: usize,
        ratio: f64,
        usual: f64,
    ) {
        let least_slow = 1.0 + MIN_SLOW_EXCESS_MICROS / usual;
        let slow_factor = self.cfg.get_slow_factor().max(least_slow);
        let executor = &mut self.executors[ix];
        executor.failures = 0;
        executor.successes = executor.successes.saturating_add(1);
        executor.last_sample = now;
        executor.latency_ratio.add(ratio);
        if executor.successes >= SUCCESSES_TO_RESET_EJECTIONS {
            executor.ejections = 0;
        }
        let is_measured = executor.latency_ratio.get_samples() >= MIN_SLOW_SAMPLES;
        let is_slow = !executor.remote && executor.latency_ratio.get_mean() > slow_factor;
        match executor.health {
            Health::Trial if ratio > slow_factor => self.eject(now, ix),
            Health::Trial => {
                executor.slow_start_end = now + self.cfg.get_slow_start();
                self.set_health(now, ix, Health::Serving);
            }
            Health::Serving if is_measured && is_slow => self.eject(now, ix),
            _ => {}
        }
    }

    /// Records a failure of an executor, and ejects the executor after too many.
    pub(super) fn record_failure(&mut self, now: time::Monotonic, ix: usize) {
        let executor = &mut self.executors[ix];
        executor.failures = executor.failures.saturating_add(1);
        executor.successes = 0;
        let is_over = executor.failures >= self.cfg.get_ejection_failures();
        if executor.health == Health::Trial || (executor.health == Health::Serving && is_over) {
            self.eject(now, ix);
        }
    }

    /// Records a failure that may be due to the connection instead of the executor.
    ///
    /// The other connections are dropped and a probe checks the executor, unless that was already
    /// done after the attempt was sent at `since`.
    pub(super) fn suspect_connections(
        &mut self,
        now: time::Monotonic,
        ix: usize,
        since: time::Monotonic,
    ) {
        let executor = &mut self.executors[ix];
        if executor.connections_dropped_at.is_some_and(|dropped| since <= dropped) {
            return;
        }
        executor.connections_dropped_at = Some(now);
        let (executor, address) = (executor.name().clone(), executor.view.address);
        self.actions.push(Action::DropConnections { executor, address });
        self.request_probe(ix);
        self.record_failure(now, ix);
    }

    /// Ejects an executor, unless ejection is off or too many of its pool are ejected already.
    pub(super) fn eject(&mut self, now: time::Monotonic, ix: usize) {
        let executor = &self.executors[ix];
        let pool = &self.pools[executor.pool];
        let granting = pool.members.iter().filter(|ix| self.executors[**ix].view.slots > 0);
        let allowed = (granting.count() as f64 * self.cfg.get_max_ejected_share()) as usize;
        let is_out = executor.health != Health::Serving;
        if !self.cfg.is_ejection_set() || (!is_out && pool.ejected >= allowed) {
            return;
        }
        let executor = &mut self.executors[ix];
        executor.ejections = executor.ejections.saturating_add(1);
        executor.latency_ratio = Estimate::new(1.0, LATENCY_RATIO_WEIGHT);
        let doublings = (executor.ejections - 1).min(16);
        let span = self.cfg.get_base_ejection() * 2_u32.pow(doublings);
        let until = now + span.min(self.cfg.get_max_ejection());
        self.set_health(now, ix, Health::Ejected { until });
    }

    pub(super) fn set_health(&mut self, now: time::Monotonic, ix: usize, health: Health) {
        self.executors[ix].health = health;
        self.recount(self.executors[ix].pool);
        self.reindex(now, ix);
    }

    fn tick_executor(&mut self, now: time::Monotonic, ix: usize) {
        let executor = &self.executors[ix];
        match executor.health {
            Health::Ejected { until } if now >= until && !executor.removed => {
                let until = now + self.cfg.get_probe_timeout();
                self.executors[ix].health = Health::Probing { until };
                self.request_probe(ix);
            }
            Health::Probing { until } if now >= until => self.eject(now, ix),
            Health::Serving if executor.slow_start_end > now => self.reindex(now, ix),
            _ => {}
        }
    }

    /// Allows the use of all slots of executors in slow start while requests are queued.
    fn bypass_slow_starts(&mut self, now: time::Monotonic, pool: usize) {
        let has_queued = self.pools[pool].queue.len() > 0;
        let starting = self.pools[pool].members.iter().copied();
        let starting = starting.filter(|ix| {
            let executor = &self.executors[*ix];
            executor.slow_start_end > now && executor.bypasses_slow_start != has_queued
        });
        for ix in starting.collect::<Vec<_>>() {
            self.executors[ix].bypasses_slow_start = has_queued;
            self.reindex(now, ix);
        }
        if has_queued {
            self.dispatch(now, pool);
        }
    }

    fn expire_unresolved(&mut self, now: time::Monotonic) {
        let expired: Vec<_> = self
            .unresolved_attempts
            .iter()
            .filter(|(_, attempt)| now >= attempt.until)
            .map(|(key, attempt)| (*key, attempt.executor))
            .collect();
        for (key, executor) in expired {
            self.unresolved_attempts.remove(&key);
            self.release_slot(now, executor);
        }
    }

    fn expire_queue(&mut self, now: time::Monotonic, pool: usize) {
        for waiting in self.pools[pool].queue.earliest_per_class() {
            self.refuse_if_late(now, &waiting);
        }
    }

    /// Moves the latency ratios of idle executors towards 1, the usual latency.
    fn decay(&mut self, now: time::Monotonic) {
        for ix in 0..self.executors.len() {
            let executor = &mut self.executors[ix];
            let is_idle =
                executor.running.is_empty() && now.since(executor.last_sample) >= IDLE_TIME;
            if is_idle && executor.latency_ratio.get_samples() > 0 && !executor.remote {
                executor.latency_ratio.move_towards(1.0, DECAY_SHARE);
                self.reindex(now, ix);
            }
        }
    }

    /// Requests an early heartbeat if requests are queued and the demand exceeds the last one
    /// reported.
    fn signal_demand_growth(&mut self, pool: usize) {
        let pool = &self.pools[pool];
        let is_outgrown = pool.demand() > pool.reported_demand && pool.queue.len() > 0;
        if is_outgrown && !self.actions.contains(&Action::DemandChanged) {
            self.actions.push(Action::DemandChanged);
        }
    }

    /// Returns whether an attempt of the request is running at an executor.
    pub fn is_running(&self, request: u64) -> bool {
        let state = self.requests.get(&request).map(|req| req.state);
        matches!(state, Some(RequestState::Running { .. }))
    }
}
