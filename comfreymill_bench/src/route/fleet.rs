use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use comfreymill_route::grant;
use comfreymill_route::router::{Action, Admission, Outcome, RequestView};
use comfreymill_types::error;
use comfreymill_types::id;
use comfreymill_types::time;
use rand::{RngExt as _, SeedableRng as _};

use super::event::{Attempt, Event};
use super::fake_entry::{FakeEntry, OpenRequest, name};
use super::fake_executor::FakeExecutor;
use super::{Behaviour, Scenario, Tally};

pub(super) const SLOTS: u32 = 8;
/// Mean service time; one half of it is fixed and the other exponentially distributed.
pub(super) const MEAN_MICROS: f64 = 10_000.0;
pub(super) const DEADLINE_MICROS: u64 = 250_000;
const WARM_UP_MICROS: u64 = 3_000_000;
pub(super) const OWN_REGION_MICROS: u64 = 250;
const OTHER_REGION_MICROS: u64 = 20_000;
const REFUSED_CONNECTION_MICROS: u64 = 500;
const TICK_MICROS: u64 = 5_000;
const URGENT_SHARE: f64 = 0.1;
const WASTED_SHARE: f64 = 0.05;

/// Entries, executors and the leader's granter in one simulation.
pub(super) struct Fleet {
    pub(super) now: u64,
    pub(super) rng: rand_chacha::ChaCha8Rng,
    pub(super) entries: Vec<FakeEntry>,
    pub(super) executors: Vec<FakeExecutor>,
    pub(super) granter: grant::Granter,
    pub(super) tally: Tally,
    /// Times and numbers of the pending events, the earliest first.
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending: HashMap<u64, Event>,
    next_event: u64,
    next_request: u64,
    /// Time since which each entry has had waiting requests while slots were idle.
    waste_since: Vec<Option<u64>>,
    /// Mean time between arrivals at each entry, in microseconds.
    mean_gaps: Vec<f64>,
    end: u64,
}

/// Simulates a scenario and returns its tally.
pub fn run(scenario: &Scenario) -> Tally {
    let mut fleet = Fleet::new(scenario);
    fleet.run_events();
    let slots = SLOTS as usize;
    let over = fleet.executors.iter().filter(|executor| executor.peak > slots);
    fleet.tally.overruns = over.count() as u64;
    fleet.tally
}

impl Fleet {
    fn new(scenario: &Scenario) -> Self {
        let own = scenario.executors.iter().enumerate();
        let own = own.map(|(i, behaviour)| FakeExecutor::new(i, "south", *behaviour));
        let count = scenario.executors.len();
        let far = count..count + scenario.remote_executors;
        let far = far.map(|i| FakeExecutor::new(i, "north", Behaviour::Healthy));
        let capacity = count as f64 * f64::from(SLOTS) / MEAN_MICROS;
        let rate = capacity * scenario.load;
        let sum: f64 = scenario.entry_weights.iter().sum();
        let mean_gaps = scenario.entry_weights.iter().map(|weight| sum / (rate * weight)).collect();
        let entries = 0..scenario.entry_weights.len();
        let mut fleet = Self {
            now: 0,
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(scenario.seed),
            entries: entries.map(|number| FakeEntry::new(number, scenario)).collect(),
            executors: own.chain(far).collect(),
            granter: super::fleet_grants::granter(),
            tally: Tally::new(),
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            next_event: 0,
            next_request: 0,
            waste_since: vec![None; scenario.entry_weights.len()],
            mean_gaps,
            end: WARM_UP_MICROS + scenario.length,
        };
        fleet.schedule_first_events();
        fleet
    }

    fn schedule_first_events(&mut self) {
        for executor in 0..self.executors.len() {
            let behaviour = self.executors[executor].behaviour;
            self.schedule_at(behaviour.get_start(), Event::Announce { executor });
            if let Behaviour::LostFrom { at } = behaviour {
                self.schedule_at(at, Event::Lose { executor });
            }
        }
        for entry in 0..self.entries.len() {
            self.schedule_at(10, Event::Tick { entry });
            self.schedule_at(10, Event::HeartbeatDue { entry });
            self.schedule_at(1_000_000, Event::Arrival { entry });
        }
        self.schedule_at(20, Event::LeaderTick);
    }

    /// Handles events in the order of their time until the end of the simulation.
    fn run_events(&mut self) {
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at > self.end {
                break;
            }
            self.now = at;
            if let Some(event) = self.pending.remove(&number) {
                self.handle(event);
            }
        }
    }

    /// Schedules an event at a virtual time in microseconds.
    pub(super) fn schedule_at(&mut self, at: u64, event: Event) {
        self.events.push(Reverse((at, self.next_event)));
        self.pending.insert(self.next_event, event);
        self.next_event += 1;
    }

    /// Schedules an event after a delay in microseconds.
    pub(super) fn schedule_after(&mut self, micros: u64, event: Event) {
        self.schedule_at(self.now + micros, event);
    }

    pub(super) fn time(&self) -> time::Monotonic {
        time::Monotonic::from_micros(self.now)
    }

    /// Returns whether a request that arrived at `arrival` counts: it arrived after the warm-up,
    /// and its deadline is before the end.
    fn is_counted(&self, arrival: u64) -> bool {
        arrival >= WARM_UP_MICROS && arrival + DEADLINE_MICROS < self.end
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { entry } => self.arrive(entry),
            Event::Start { executor, attempt } => self.start(executor, attempt),
            Event::End { executor, attempt, status } => self.end_run(executor, attempt, status),
            Event::Outcome { attempt, sent_at, status } => self.answer(attempt, sent_at, status),
            Event::NothingSent { attempt } => self.finish(attempt, Outcome::NothingSent),
            Event::NoAnswer { attempt } => self.finish(attempt, Outcome::SentNoAnswer),
            Event::Deadline { entry, request } => self.time_out(entry, request),
            Event::Probed { entry, executor } => self.probed(entry, executor),
            Event::Tick { entry } => self.tick(entry),
            Event::Lose { executor } => self.lose(executor),
            other => self.handle_grant_event(other),
        }
    }

    fn arrive(&mut self, entry: usize) {
        let gap = -self.mean_gaps[entry] * (1.0 - self.rng.random_range(0.0..1.0_f64)).ln();
        self.schedule_after(gap.max(1.0) as u64, Event::Arrival { entry });
        let request = self.next_request;
        self.next_request += 1;
        let is_urgent = self.rng.random_bool(URGENT_SHARE);
        let is_of_three = self.rng.random_bool(0.5);
        let open = OpenRequest { arrival: self.now, is_urgent, is_of_three, attempt: 0 };
        let req = RequestView {
            id: request,
            class: name(if is_urgent { "slipway" } else { "search" }),
            team: name(if is_of_three { "three" } else { "one" }),
            arrival: self.time(),
            deadline: None,
            keyed: false,
            unrepeatable: false,
        };
        if self.is_counted(self.now) {
            self.tally.requests += 1;
            self.tally.urgent += u64::from(is_urgent);
        }
        let now = self.time();
        self.entries[entry].open.insert(request, open);
        match self.entries[entry].router.submit(now, &req) {
            Admission::Send { executor, attempt, .. } => {
                self.send(entry, request, &executor, attempt);
            }
            Admission::Queued => {}
            Admission::Refused(error) => self.refuse(entry, request, &error),
        }
        self.schedule_after(DEADLINE_MICROS, Event::Deadline { entry, request });
        self.apply_actions(entry);
    }

    /// Carries out the actions that an entry's router has requested.
    pub(super) fn apply_actions(&mut self, entry: usize) {
        for action in self.entries[entry].router.take_actions() {
            match action {
                Action::Send { request, executor, attempt, .. } => {
                    self.send(entry, request, &executor, attempt);
                }
                Action::Refuse { request, error } => self.refuse(entry, request, &error),
                Action::Probe { executor, .. } => {
                    let executor = self.executor(&executor);
                    self.schedule_after(1_000, Event::Probed { entry, executor });
                }
                Action::DropConnections { .. } => {}
                Action::DemandChanged => self.send_heartbeat(entry),
            }
        }
        let now = self.time();
        if !self.entries[entry].router.take_changed_holdings(now).is_empty() {
            self.send_heartbeat(entry);
        }
    }

    fn executor(&self, name: &id::ExecutorName) -> usize {
        name.as_str()[1..].parse().expect("the name ends with the number")
    }

    fn send(&mut self, entry: usize, request: u64, name: &id::ExecutorName, number: u32) {
        let executor = self.executor(name);
        let attempt = Attempt { entry, request, number };
        let arrival = self.entries[entry].open.get(&request).map(|open| open.arrival);
        let is_counted = arrival.is_some_and(|arrival| self.is_counted(arrival));
        if let Some(open) = self.entries[entry].open.get_mut(&request) {
            open.attempt = number;
            if is_counted {
                self.tally.attempts += 1;
                self.tally.crossings += u64::from(self.executors[executor].region == "north");
            }
        }
        if self.executors[executor].behaviour.is_lost(self.now) {
            self.schedule_after(REFUSED_CONNECTION_MICROS, Event::NothingSent { attempt });
        } else {
            self.schedule_after(self.one_way(executor), Event::Start { executor, attempt });
        }
    }

    /// Returns the one-way network delay to an executor, in microseconds.
    fn one_way(&self, executor: usize) -> u64 {
        let is_far = self.executors[executor].region == "north";
        if is_far { OTHER_REGION_MICROS } else { OWN_REGION_MICROS }
    }

    fn start(&mut self, executor: usize, attempt: Attempt) {
        if self.executors[executor].behaviour.is_lost(self.now) {
            return self.schedule_after(REFUSED_CONNECTION_MICROS, Event::NoAnswer { attempt });
        }
        let (now, state) = (self.now, &mut self.executors[executor]);
        let (duration, status) = state.start(now, attempt, MEAN_MICROS, &mut self.rng);
        self.schedule_after(duration, Event::End { executor, attempt, status });
    }

    fn end_run(&mut self, executor: usize, attempt: Attempt, status: u16) {
        if self.executors[executor].end(attempt) {
            let sent_at = self.now;
            self.schedule_after(
                self.one_way(executor),
                Event::Outcome { attempt, sent_at, status },
            );
        }
    }

    fn lose(&mut self, executor: usize) {
        for attempt in std::mem::take(&mut self.executors[executor].running) {
            self.schedule_after(OWN_REGION_MICROS, Event::NoAnswer { attempt });
        }
    }

    fn answer(&mut self, attempt: Attempt, _sent_at: u64, status: u16) {
        let now = self.time();
        let Some(open) = self.entries[attempt.entry].open.remove(&attempt.request) else {
            let router = &mut self.entries[attempt.entry].router;
            router.resolved(now, attempt.request, attempt.number);
            return self.apply_actions(attempt.entry);
        };
        let latency = self.now - open.arrival;
        if self.is_counted(open.arrival) {
            self.count_answer(&open, latency, status);
        }
        let latency = Duration::from_micros(latency);
        self.finish(attempt, Outcome::Answered { latency, status });
    }

    fn count_answer(&mut self, open: &OpenRequest, latency: u64, status: u16) {
        if status != 200 {
            self.tally.errors += 1;
            return;
        }
        let is_in_time = latency <= DEADLINE_MICROS;
        self.tally.answered += 1;
        self.tally.in_time += u64::from(is_in_time);
        self.tally.urgent_in_time += u64::from(is_in_time && open.is_urgent);
        self.tally.in_time_of_three += u64::from(is_in_time && open.is_of_three && !open.is_urgent);
        self.tally.latency.saturating_record(latency);
    }

    fn finish(&mut self, attempt: Attempt, outcome: Outcome) {
        let now = self.time();
        let router = &mut self.entries[attempt.entry].router;
        router.finished(now, attempt.request, attempt.number, outcome);
        self.apply_actions(attempt.entry);
    }

    fn time_out(&mut self, entry: usize, request: u64) {
        let Some(open) = self.entries[entry].open.get(&request) else { return };
        let number = open.attempt;
        if self.entries[entry].router.is_running(request) {
            self.finish(Attempt { entry, request, number }, Outcome::TimedOut);
        }
    }

    fn refuse(&mut self, entry: usize, request: u64, error: &error::Error) {
        let Some(open) = self.entries[entry].open.remove(&request) else { return };
        if !self.is_counted(open.arrival) {
            return;
        }
        if error.get_kind().get_properties().run == error::RunState::NotRun {
            self.tally.refused += 1;
            self.tally.refusal.saturating_record((self.now - open.arrival).max(1));
        } else {
            self.tally.errors += 1;
        }
    }

    fn probed(&mut self, entry: usize, executor: usize) {
        let now = self.time();
        let is_healthy = !self.executors[executor].behaviour.is_lost(self.now);
        let name = name(&self.executors[executor].name);
        self.entries[entry].router.probed(now, &name, is_healthy);
        self.apply_actions(entry);
    }

    fn tick(&mut self, entry: usize) {
        let now = self.time();
        self.entries[entry].router.tick(now);
        self.apply_actions(entry);
        self.schedule_after(TICK_MICROS, Event::Tick { entry });
        if entry == 0 && self.now >= WARM_UP_MICROS {
            self.measure_waste();
        }
    }

    /// Measures for how long slots have been idle while requests waited at one entry.
    fn measure_waste(&mut self) {
        let running: usize = self.executors.iter().map(|executor| executor.running.len()).sum();
        let slots = self.executors.len() * SLOTS as usize;
        let idle = slots - running.min(slots);
        let is_idle = idle as f64 > slots as f64 * WASTED_SHARE;
        for (entry, since) in self.entries.iter().zip(&mut self.waste_since) {
            if !is_idle || entry.router.queued_requests() == 0 {
                *since = None;
                continue;
            }
            let span = self.now - *since.get_or_insert(self.now);
            self.tally.longest_waste = self.tally.longest_waste.max(span);
        }
    }
}
