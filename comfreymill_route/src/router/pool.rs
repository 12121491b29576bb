use std::collections::BTreeSet;
use std::mem;
use std::time::Duration;

use comfreymill_types::document;
use comfreymill_types::id;
use rand::RngExt as _;

use super::Policy;
use super::estimate::Estimate;
use super::executor::Executor;
use super::queue::Queue;

const PRIORITY_COUNT: usize = document::Priority::Urgent as usize + 1;
/// Minimum share of the slots that is assumed to be left by higher priorities.
const MIN_REMAINING_SHARE: f64 = 0.05;
/// Minimum time constant of the load averages.
const MIN_LOAD_TIME_CONSTANT: Duration = Duration::from_millis(250);
/// Time within which the demand reported to the leader should clear the queue.
const QUEUE_CLEARING_PERIOD: Duration = Duration::from_millis(250);
/// Weight of a new sample in the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
/// Service time assumed before the first sample, in microseconds.
const INITIAL_SERVICE_MICROS: f64 = 1_000.0;

/// Key in the cost index: cost, then a random tie-break, then the executor's index.
type Key = (u64, u32, usize);

/// Executors of a pool that have a free slot, either in the entry's region or in the others.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    by_cost: BTreeSet<Key>,
    list: Vec<usize>,
    /// Position of the latest choice in round-robin order.
    cursor: usize,
}

/// Executors of one service with the requests that are queued for the service.
#[derive(Debug)]
pub(super) struct Pool {
    pub(super) service: id::ServiceName,
    /// Indices of the executors that the tables list.
    pub(super) members: Vec<usize>,
    pub(super) local: Candidates,
    pub(super) remote: Candidates,
    pub(super) queue: Queue,
    /// Number of executors in the entry's region that receive requests, with or without a free
    /// slot.
    pub(super) local_serving: usize,
    /// Number of slots that those executors grant to this entry.
    pub(super) local_slots: u32,
    /// Number of executors in other regions that receive requests.
    pub(super) remote_serving: usize,
    /// Number of slots that those executors grant to this entry.
    pub(super) remote_slots: u32,
    /// Number of executors that are ejected, being probed or on trial.
    pub(super) ejected: usize,
    /// Number of slots in use over all executors.
    pub(super) in_use: u32,
    /// Number of requests that arrived since the load was last sampled.
    pub(super) arrivals: u32,
    /// Number of requests sent since the load was last sampled, by priority.
    sent: [u32; PRIORITY_COUNT],
    /// Moving average of the number of slots that arriving requests need.
    mean_offered: f64,
    /// Moving average of the number of slots that sent requests need, by priority.
    mean_sent: [f64; PRIORITY_COUNT],
    /// Moving average of the number of slots in use.
    mean_in_use: f64,
    /// Time from sending a request to the end of its answer, in microseconds, over all classes.
    pub(super) service_time: Estimate,
    /// Demand last reported to the leader, in slots.
    pub(super) reported_demand: u32,
}

/// Constraints on the choice of an executor for one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Constraints<'a> {
    pub(super) rule: &'a document::PlacementRule,
    pub(super) unrestricted: bool,
    /// Executor of the previous attempt, which must not be chosen again.
    pub(super) avoid: Option<usize>,
    /// Whether executors on trial must not be chosen.
    pub(super) excludes_trial: bool,
}

impl Pool {
    pub(super) fn new(service: id::ServiceName) -> Self {
        Self {
            service,
            members: Vec::new(),
            local: Candidates::default(),
            remote: Candidates::default(),
            queue: Queue::default(),
            local_serving: 0,
            local_slots: 0,
            remote_serving: 0,
            remote_slots: 0,
            ejected: 0,
            in_use: 0,
            arrivals: 0,
            sent: [0; PRIORITY_COUNT],
            mean_offered: 0.0,
            mean_sent: [0.0; PRIORITY_COUNT],
            mean_in_use: 0.0,
            service_time: Estimate::new(INITIAL_SERVICE_MICROS, SERVICE_TIME_WEIGHT),
            reported_demand: 0,
        }
    }

    /// Updates the load averages with the arrivals, sends and slots in use of the last `span`.
    pub(super) fn sample_load(&mut self, span: Duration) {
        let span = span.as_secs_f64();
        if span == 0.0 {
            return;
        }
        let service_secs = self.service_time.get_mean() / 1e6;
        let time_constant = MIN_LOAD_TIME_CONSTANT.as_secs_f64().max(service_secs);
        let share = 1.0 - (-span / time_constant).exp();
        let offered = f64::from(self.arrivals) / span * service_secs;
        self.arrivals = 0;
        self.mean_offered += share * (offered - self.mean_offered);
        self.mean_in_use += share * (f64::from(self.in_use) - self.mean_in_use);
        for (mean, sent) in self.mean_sent.iter_mut().zip(&mut self.sent) {
            let taken = f64::from(mem::take(sent)) / span * service_secs;
            *mean += share * (taken - *mean);
        }
    }

    /// Counts a request that was sent.
    pub(super) fn count_sent(&mut self, priority: document::Priority) {
        self.sent[priority as usize] += 1;
    }

    /// Returns the number of `slots` that requests of higher priorities leave free.
    pub(super) fn slots_left_by_higher(&self, slots: u32, priority: document::Priority) -> f64 {
        let higher: f64 = self.mean_sent[priority as usize + 1..].iter().sum();
        let slots = f64::from(slots);
        (slots - higher).max(slots * MIN_REMAINING_SHARE)
    }

    /// Returns the number of slots needed for arriving requests and to clear the queue within
    /// [`QUEUE_CLEARING_PERIOD`].
    pub(super) fn demand(&self) -> u32 {
        let backlog = self.queue.len() as f64 * self.service_time.get_mean();
        let clearing = backlog / QUEUE_CLEARING_PERIOD.as_micros() as f64;
        (self.mean_offered.max(self.mean_in_use) + clearing).ceil() as u32
    }

    pub(super) fn candidates_mut(&mut self, remote: bool) -> &mut Candidates {
        if remote { &mut self.remote } else { &mut self.local }
    }
}

impl Candidates {
    /// Inserts an executor, or updates its cost if it is listed already.
    pub(super) fn insert(&mut self, ix: usize, executor: &mut Executor, cost: u64, tie: u32) {
        if let Some((cost, tie)) = executor.cost_key.take() {
            self.by_cost.remove(&(cost, tie, ix));
        }
        executor.cost_key = Some((cost, tie));
        self.by_cost.insert((cost, tie, ix));
        if executor.position.is_none() {
            executor.position = Some(self.list.len());
            self.list.push(ix);
        }
    }

    /// Removes an executor; returns the index and the position of the one that took its place in
    /// the list.
    pub(super) fn remove(&mut self, ix: usize, executor: &mut Executor) -> Option<(usize, usize)> {
        if let Some((cost, tie)) = executor.cost_key.take() {
            self.by_cost.remove(&(cost, tie, ix));
        }
        let position = executor.position.take()?;
        self.list.swap_remove(position);
        self.list.get(position).map(|moved| (*moved, position))
    }

    pub(super) fn len(&self) -> usize {
        self.list.len()
    }

    /// Chooses an executor for one request by `policy`.
    pub(super) fn choose<R>(
        &mut self,
        policy: Policy,
        executors: &[Executor],
        constraints: Constraints<'_>,
        rng: &mut R,
    ) -> Option<usize>
    where
        R: rand::Rng,
    {
        if self.list.is_empty() {
            return None;
        }
        match policy {
            Policy::RoundRobin => {
                self.cursor = self.cursor.wrapping_add(1);
                self.first_from(self.cursor, executors, constraints)
            }
            Policy::Random => {
                let start = rng.random_range(0..self.list.len());
                self.first_from(start, executors, constraints)
            }
            Policy::TwoChoices => {
                let first = rng.random_range(0..self.list.len());
                let second = rng.random_range(0..self.list.len());
                let a = self.first_from(first, executors, constraints)?;
                let b = self.first_from(second, executors, constraints)?;
                Some(if executors[b].in_use() < executors[a].in_use() { b } else { a })
            }
            Policy::LeastLoaded => {
                let mut costs = self.by_cost.iter().map(|key| key.2);
                costs.find(|ix| constraints.fits(*ix, executors))
            }
        }
    }

    /// Returns the first executor that satisfies `constraints`, searching the list from `start` on.
    fn first_from(
        &self,
        start: usize,
        executors: &[Executor],
        constraints: Constraints<'_>,
    ) -> Option<usize> {
        let len = self.list.len();
        let order = (0..len).map(|i| self.list[(start % len + i) % len]);
        order.into_iter().find(|ix| constraints.fits(*ix, executors))
    }
}

impl Constraints<'_> {
    fn fits(&self, ix: usize, executors: &[Executor]) -> bool {
        let executor = &executors[ix];
        let trial_allowed = !self.excludes_trial || executor.health != super::health::Health::Trial;
        self.avoid != Some(ix) && trial_allowed && self.allows(executor)
    }

    /// Returns whether the class may run in the executor's region and zone.
    pub(super) fn allows(&self, executor: &Executor) -> bool {
        self.unrestricted || self.rule.allows(&executor.view.region, &executor.view.zone)
    }
}
