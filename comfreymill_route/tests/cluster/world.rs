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
pub(super) struct World {
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
    pub(super) said_not_run: HashSet<u64>,
    pub(super) unrepeatable: HashSet<u64>,
    pub(super) started: u64,
    pub(super) answered: u64,
}

impl World {
    pub(super) fn new(seed: u64, entries: usize, executors: usize) -> Self {
        let mut world = Self {
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
            said_not_run: HashSet::new(),
            unrepeatable: HashSet::new(),
            started: 0,
            answered: 0,
        };
        for executor in 0..executors {
            world.after(1, Event::Announce { executor });
        }
        for entry in 0..entries {
            world.start_entry(entry);
            world.after(20, Event::Submit { entry });
        }
        world.after(5, Event::LeaderTick { term: 1 });
        world.after(50, Event::Fault);
        world
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

    pub(super) fn after(&mut self, millis: u64, event: Event) {
        let at = self.now + Duration::from_millis(millis);
        self.events.push(Reverse((at, self.next_event)));
        self.pending.insert(self.next_event, event);
        self.next_event += 1;
    }

    pub(super) fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    pub(super) fn fault(&mut self, percent: u32) -> bool {
        self.is_faulty && self.chance(percent)
    }

    pub(super) fn delay(&mut self) -> u64 {
        let most = if self.is_faulty { MAX_DELAY_MILLIS } else { 2 };
        self.rng.random_range(1..=most)
    }

    /// Sends a message between an entry and the leader; it may be lost, duplicated or reordered.
    fn carry(&mut self, entry: usize, event: Event) {
        if self.entries[entry].is_cut_off || self.fault(10) {
            return;
        }
        let delay = self.delay();
        if self.fault(5) {
            let again = self.delay();
            self.after(again + MAX_DELAY_MILLIS, event.clone());
        }
        self.after(delay, event);
    }

    pub(super) fn start_entry(&mut self, entry: usize) {
        let life = self.entries[entry].life;
        self.after(1, Event::EntryTick { entry, life });
        self.after(1, Event::EntryBeat { entry, life });
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::EntryTick { entry, life } => self.entry_tick(entry, life),
            Event::EntryBeat { entry, life } => {
                if self.entries[entry].is_alive(life) {
                    self.beat(entry);
                    self.after(100, Event::EntryBeat { entry, life });
                }
            }
            Event::LeaderTick { term } => self.leader_tick(term),
            Event::Announce { executor } => self.announce(executor),
            Event::Submit { entry } => {
                self.submit(entry);
                let gap = self.rng.random_range(1..8);
                self.after(gap, Event::Submit { entry });
            }
            Event::Heartbeat(heartbeat, sent) => self.take_heartbeat(&heartbeat, sent),
            Event::Table { entry, life, table, lease_until } => {
                if self.entries[entry].is_alive(life) {
                    let router = &mut self.entries[entry].router;
                    if let Some(table) = table {
                        router.executors(self.now, table);
                    }
                    if let Some(until) = lease_until {
                        router.lease(self.now, 0, until);
                    }
                    self.act(entry);
                }
            }
            Event::Commit { term, changes } => {
                self.leader.commit(term, changes);
                self.show_tables();
            }
            Event::Arrive { executor, attempt } => self.arrive(executor, attempt),
            Event::RunEnds { executor, life, attempt } => self.run_ends(executor, life, attempt),
            Event::Outcome { attempt, outcome } => self.outcome(attempt, outcome),
            Event::Settled { attempt } => {
                if self.entries[attempt.entry].is_alive(attempt.life) {
                    let router = &mut self.entries[attempt.entry].router;
                    router.settled(self.now, attempt.request, attempt.number);
                    self.act(attempt.entry);
                }
            }
            Event::Probed { entry, life, executor, is_healthy } => {
                if self.entries[entry].is_alive(life) {
                    let name = support::name(&self.executors[executor].name);
                    self.entries[entry].router.probed(self.now, &name, is_healthy);
                    self.act(entry);
                }
            }
            Event::EntryStarts { entry } => {
                self.entries[entry].restart();
                self.start_entry(entry);
            }
            Event::ExecutorStarts { executor } => self.executors[executor].restart(),
            Event::Fault => self.make_fault(),
        }
    }

    fn entry_tick(&mut self, entry: usize, life: u64) {
        if !self.entries[entry].is_alive(life) {
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
        self.act(entry);
        self.after(10, Event::EntryTick { entry, life });
    }

    fn beat(&mut self, entry: usize) {
        let heartbeat = self.entries[entry].heartbeat(self.now);
        self.carry(entry, Event::Heartbeat(heartbeat, self.now));
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
            let life = heartbeat.incarnation.get();
            self.carry(entry, Event::Table { entry, life, table, lease_until: Some(sent + LEASE) });
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
            self.after(delay, Event::Commit { term, changes });
        }
        self.after(LEADER_TICK_MILLIS, Event::LeaderTick { term });
    }

    /// Sends each entry its table after a commit, as a leader does.
    fn show_tables(&mut self) {
        for entry in 0..self.entries.len() {
            let life = self.entries[entry].life;
            let name = support::name(&self.entries[entry].name);
            let granter = &mut self.leader.granter;
            let table = granter.table(self.now, &name, id::Incarnation::new(life));
            if table.is_some() {
                self.carry(entry, Event::Table { entry, life, table, lease_until: None });
            }
        }
    }

    pub(super) fn change_leader(&mut self) {
        self.leader.change(self.now);
        let term = self.leader.term;
        self.after(30, Event::LeaderTick { term });
    }

    fn announce(&mut self, executor: usize) {
        let state = &self.executors[executor];
        if state.is_up && !(self.is_faulty && self.next_event.is_multiple_of(7)) {
            let announcement = support::announcement(&state.name, state.life, SLOTS as u32);
            let name = announcement.name.clone();
            let life = announcement.incarnation;
            let is_leaving = state.is_leaving;
            self.leader.granter.announced(announcement);
            if is_leaving {
                self.leader.granter.leaving(&name, life);
            }
        }
        self.after(60, Event::Announce { executor });
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
                self.refuse(entry, number, error.get_kind().get_answer().run);
            }
        }
        self.act(entry);
        if self.fault(3) {
            self.caller_leaves(entry, number);
        }
    }

    fn caller_leaves(&mut self, entry: usize, request: u64) {
        let Some((_, attempt)) = self.entries[entry].open.get(&request).copied() else { return };
        self.entries[entry].abandon(request);
        let number = attempt.map_or(0, |attempt| attempt.number);
        self.entries[entry].router.finished(self.now, request, number, Outcome::CallerGone);
        self.act(entry);
    }

    fn refuse(&mut self, entry: usize, request: u64, run: RunState) {
        self.entries[entry].answer(request);
        if run == RunState::NotRun {
            assert_eq!(self.starts(request), 0, "{request} ran and was said not to have run");
            self.said_not_run.insert(request);
        }
    }

    pub(super) fn starts(&self, request: u64) -> u32 {
        self.executors.iter().filter_map(|executor| executor.journal.get(&request)).sum()
    }

    /// Carries out the actions of an entry's router and sends a heartbeat if holdings changed.
    pub(super) fn act(&mut self, entry: usize) {
        for action in self.entries[entry].router.take_actions() {
            match action {
                Action::Send { request, executor, attempt, .. } => {
                    self.send(entry, request, &executor, attempt);
                }
                Action::Refuse { request, error } => {
                    self.refuse(entry, request, error.get_kind().get_answer().run);
                }
                Action::Probe { executor, .. } => self.probe(entry, &executor),
                Action::DropConnections { .. } | Action::DemandChanged => {}
            }
        }
        if !self.entries[entry].router.returnable(self.now).is_empty() {
            self.beat(entry);
        }
    }

    fn probe(&mut self, entry: usize, name: &id::ExecutorName) {
        let life = self.entries[entry].life;
        let executor = self.executor(name);
        let is_healthy = self.executors[executor].is_up;
        let delay = self.delay();
        self.after(delay, Event::Probed { entry, life, executor, is_healthy });
    }

    pub(super) fn executor(&self, name: &id::ExecutorName) -> usize {
        let position = self.executors.iter().position(|state| state.name == name.as_str());
        position.expect("the executor is one of ours")
    }
}
