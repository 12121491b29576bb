use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::time::Duration;

use comfreymill_route::router::{Action, Admission, Outcome};
use comfreymill_types::error::RunState;
use comfreymill_types::id;
use comfreymill_types::time;
use rand::{RngExt as _, SeedableRng as _};

use super::entry::Entry;
use super::executor::Executor;
use super::leader::{LEASE, Leader};
use super::message::{Attempt, Event};
use crate::support;

pub(super) const SLOTS: usize = 4;
const LEADER_TICK_MILLIS: u64 = 20;
const MAX_DELAY_MILLIS: u64 = 40;

/// Simulation of entries, executors and a leader over a network with faults.
pub(super) struct Simulation {
    pub(super) now: time::Monotonic,
    pub(super) rng: rand_chacha::ChaCha8Rng,
    pub(super) entries: Vec<Entry>,
    pub(super) executors: Vec<Executor>,
    pub(super) leader: Leader,
    pub(super) is_faulty: bool,
    events: BinaryHeap<Reverse<(time::Monotonic, u64)>>,
    pending: HashMap<u64, Event>,
    next_event: u64,
    next_request: u64,
    pub(super) reported_not_run: HashSet<u64>,
    pub(super) unrepeatable: HashSet<u64>,
    pub(super) started: u64,
    pub(super) answered: u64,
}

impl Simulation {
    pub(super) fn new(seed: u64, entries: usize, executors: usize) -> Self {
        let mut simulation = Self {
            now: time::Monotonic::ZERO,
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            entries: (0..entries).map(Entry::new).collect(),
            executors: (0..executors).map(|number| Executor::new(number, SLOTS)).collect(),
            leader: Leader::new(),
            is_faulty: true,
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            next_event: 0,
            next_request: 0,
            reported_not_run: HashSet::new(),
            unrepeatable: HashSet::new(),
            started: 0,
            answered: 0,
        };
        for executor in 0..executors {
            simulation.schedule_after(1, Event::Announce { executor });
        }
        for entry in 0..entries {
            simulation.start_entry(entry);
            simulation.schedule_after(20, Event::Submit { entry });
        }
        simulation.schedule_after(5, Event::LeaderTick { term: 1 });
        simulation.schedule_after(50, Event::Fault);
        simulation
    }

    /// Runs until `end`, and checks the grants in the log after every event.
    pub(super) fn run_until(&mut self, end: time::Monotonic) {
        while let Some(Reverse((at, number))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            self.events.pop();
            self.now = at;
            if let Some(event) = self.pending.remove(&number) {
                self.step(event);
            }
            self.leader.check(SLOTS as u32);
        }
        self.now = end;
    }

    pub(super) fn schedule_after(&mut self, millis: u64, event: Event) {
        let at = self.now + Duration::from_millis(millis);
        self.events.push(Reverse((at, self.next_event)));
        self.pending.insert(self.next_event, event);
        self.next_event += 1;
    }

    pub(super) fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    pub(super) fn fault_occurs(&mut self, percent: u32) -> bool {
        self.is_faulty && self.chance(percent)
    }

    pub(super) fn delay(&mut self) -> u64 {
        let most = if self.is_faulty { MAX_DELAY_MILLIS } else { 2 };
        self.rng.random_range(1..=most)
    }

    /// Sends a message between an entry and the leader; it may be lost, duplicated or reordered.
    fn send_message(&mut self, entry: usize, event: Event) {
        if self.entries[entry].is_partitioned || self.fault_occurs(10) {
            return;
        }
        let delay = self.delay();
        if self.fault_occurs(5) {
            let again = self.delay();
            self.schedule_after(again + MAX_DELAY_MILLIS, event.clone());
        }
        self.schedule_after(delay, event);
    }

    pub(super) fn start_entry(&mut self, entry: usize) {
        let incarnation = self.entries[entry].incarnation;
        self.schedule_after(1, Event::EntryTick { entry, incarnation });
        self.schedule_after(1, Event::EntryHeartbeat { entry, incarnation });
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::EntryTick { entry, incarnation } => self.entry_tick(entry, incarnation),
            Event::EntryHeartbeat { entry, incarnation } => {
                if self.entries[entry].is_alive(incarnation) {
                    self.send_heartbeat(entry);
                    self.schedule_after(100, Event::EntryHeartbeat { entry, incarnation });
                }
            }
            Event::LeaderTick { term } => self.leader_tick(term),
            Event::Announce { executor } => self.announce(executor),
            Event::Submit { entry } => {
                self.submit(entry);
                let gap = self.rng.random_range(1..8);
                self.schedule_after(gap, Event::Submit { entry });
            }
            Event::Heartbeat(heartbeat, sent) => self.take_heartbeat(&heartbeat, sent),
            Event::Table { entry, incarnation, table, lease_until } => {
                if self.entries[entry].is_alive(incarnation) {
                    let router = &mut self.entries[entry].router;
                    if let Some(table) = table {
                        router.update_executors(self.now, table);
                    }
                    if let Some(until) = lease_until {
                        router.set_lease(self.now, 0, until);
                    }
                    self.run_actions(entry);
                }
            }
            Event::Commit { term, changes } => {
                self.leader.commit(term, changes);
                self.send_tables();
            }
            Event::Arrive { executor, attempt } => self.arrive(executor, attempt),
            Event::RunEnds { executor, incarnation, attempt } => {
                self.run_ends(executor, incarnation, attempt);
            }
            Event::Outcome { attempt, outcome } => self.outcome(attempt, outcome),
            Event::Settled { attempt } => {
                if self.entries[attempt.entry].is_alive(attempt.incarnation) {
                    let router = &mut self.entries[attempt.entry].router;
                    router.resolved(self.now, attempt.request, attempt.number);
                    self.run_actions(attempt.entry);
                }
            }
            Event::Probed { entry, incarnation, executor, is_healthy } => {
                if self.entries[entry].is_alive(incarnation) {
                    let name = support::name(&self.executors[executor].name);
                    self.entries[entry].router.probed(self.now, &name, is_healthy);
                    self.run_actions(entry);
                }
            }
            Event::EntryStarts { entry } => {
                self.entries[entry].restart();
                self.start_entry(entry);
            }
            Event::ExecutorStarts { executor } => self.executors[executor].restart(),
            Event::Fault => self.inject_fault(),
        }
    }

    fn entry_tick(&mut self, entry: usize, incarnation: u64) {
        if !self.entries[entry].is_alive(incarnation) {
            return;
        }
        let now = self.now;
        let state = &mut self.entries[entry];
        state.router.tick(now);
        let late = state.open.iter().filter(|(_, (deadline, _))| now >= *deadline);
        let late: Vec<Attempt> = late.filter_map(|(_, (_, attempt))| *attempt).collect();
        for attempt in late {
            self.outcome(attempt, Outcome::TimedOut);
        }
        self.run_actions(entry);
        self.schedule_after(10, Event::EntryTick { entry, incarnation });
    }

    fn send_heartbeat(&mut self, entry: usize) {
        let heartbeat = self.entries[entry].heartbeat(self.now);
        self.send_message(entry, Event::Heartbeat(heartbeat, self.now));
    }

    fn take_heartbeat(
        &mut self,
        heartbeat: &comfreymill_route::grant::Heartbeat,
        sent: time::Monotonic,
    ) {
        let name = heartbeat.entry.clone();
        let entry = self
            .entries
            .iter()
            .position(|entry| support::name::<id::EntryName>(&entry.name) == name);
        let Some(entry) = entry else { return };
        if self.leader.granter.heartbeat(self.now, heartbeat) {
            let granter = &mut self.leader.granter;
            let table = granter.table(self.now, &name, heartbeat.incarnation);
            let incarnation = heartbeat.incarnation.get();
            self.send_message(
                entry,
                Event::Table { entry, incarnation, table, lease_until: Some(sent + LEASE) },
            );
        }
    }

    fn leader_tick(&mut self, term: u64) {
        if term != self.leader.term {
            return;
        }
        self.leader.granter.tick(self.now);
        let changes = self.leader.granter.take_changes();
        if !changes.is_empty() {
            let delay = self.delay().min(10);
            self.schedule_after(delay, Event::Commit { term, changes });
        }
        self.schedule_after(LEADER_TICK_MILLIS, Event::LeaderTick { term });
    }

    /// Sends each entry its table after a commit, as a leader does.
    fn send_tables(&mut self) {
        for entry in 0..self.entries.len() {
            let incarnation = self.entries[entry].incarnation;
            let name = support::name(&self.entries[entry].name);
            let granter = &mut self.leader.granter;
            let table = granter.table(self.now, &name, id::Incarnation::new(incarnation));
            if table.is_some() {
                self.send_message(
                    entry,
                    Event::Table { entry, incarnation, table, lease_until: None },
                );
            }
        }
    }

    pub(super) fn change_leader(&mut self) {
        self.leader.change(self.now);
        let term = self.leader.term;
        self.schedule_after(30, Event::LeaderTick { term });
    }

    fn announce(&mut self, executor: usize) {
        let state = &self.executors[executor];
        if state.is_up && !(self.is_faulty && self.next_event.is_multiple_of(7)) {
            let announcement = support::announcement(&state.name, state.incarnation, SLOTS as u32);
            let name = announcement.name.clone();
            let incarnation = announcement.incarnation;
            let is_leaving = state.is_leaving;
            self.leader.granter.executor_announced(announcement);
            if is_leaving {
                self.leader.granter.executor_leaving(&name, incarnation);
            }
        }
        self.schedule_after(60, Event::Announce { executor });
    }

    fn submit(&mut self, entry: usize) {
        if !self.entries[entry].is_up {
            return;
        }
        let number = self.next_request;
        self.next_request += 1;
        let unrepeatable = self.chance(20);
        let class = if unrepeatable { "certificate" } else { "search" };
        let mut req = support::request(number, class, self.now);
        req.keyed = unrepeatable;
        if unrepeatable {
            self.unrepeatable.insert(number);
        }
        let deadline = self.now + Duration::from_millis(200);
        self.entries[entry].open.insert(number, (deadline, None));
        match self.entries[entry].router.submit(self.now, &req) {
            Admission::Send { executor, attempt, .. } => {
                self.send(entry, number, &executor, attempt);
            }
            Admission::Queued => {}
            Admission::Refused(error) => {
                self.refuse(entry, number, error.get_kind().get_properties().run);
            }
        }
        self.run_actions(entry);
        if self.fault_occurs(3) {
            self.disconnect_caller(entry, number);
        }
    }

    fn disconnect_caller(&mut self, entry: usize, request: u64) {
        let Some((_, attempt)) = self.entries[entry].open.get(&request).copied() else { return };
        self.entries[entry].abandon(request);
        let number = attempt.map_or(0, |attempt| attempt.number);
        self.entries[entry].router.finished(self.now, request, number, Outcome::CallerGone);
        self.run_actions(entry);
    }

    fn refuse(&mut self, entry: usize, request: u64, run: RunState) {
        self.entries[entry].answer(request);
        if run == RunState::NotRun {
            assert_eq!(self.starts(request), 0, "{request} ran and was said not to have run");
            self.reported_not_run.insert(request);
        }
    }

    pub(super) fn starts(&self, request: u64) -> u32 {
        self.executors.iter().filter_map(|executor| executor.start_counts.get(&request)).sum()
    }

    /// Carries out the actions of an entry's router and sends a heartbeat if holdings changed.
    pub(super) fn run_actions(&mut self, entry: usize) {
        for action in self.entries[entry].router.take_actions() {
            match action {
                Action::Send { request, executor, attempt, .. } => {
                    self.send(entry, request, &executor, attempt);
                }
                Action::Refuse { request, error } => {
                    self.refuse(entry, request, error.get_kind().get_properties().run);
                }
                Action::Probe { executor, .. } => self.probe(entry, &executor),
                Action::DropConnections { .. } | Action::DemandChanged => {}
            }
        }
        if !self.entries[entry].router.take_changed_holdings(self.now).is_empty() {
            self.send_heartbeat(entry);
        }
    }

    fn probe(&mut self, entry: usize, name: &id::ExecutorName) {
        let incarnation = self.entries[entry].incarnation;
        let executor = self.executor(name);
        let is_healthy = self.executors[executor].is_up;
        let delay = self.delay();
        self.schedule_after(delay, Event::Probed { entry, incarnation, executor, is_healthy });
    }

    pub(super) fn executor(&self, name: &id::ExecutorName) -> usize {
        let position = self.executors.iter().position(|state| state.name == name.as_str());
        position.expect("the executor is one of ours")
    }
}
