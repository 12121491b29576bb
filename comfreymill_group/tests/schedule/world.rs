use crate::schedule::checker::{self, Checker};
use crate::schedule::machine::Machine;
use crate::schedule::network::Network;
use crate::schedule::node::Node;
use crate::schedule::profile::Profile;
use bytes::Bytes;
use comfreymill_group::{entry, id, replica};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// Simulated group of replicas, with its network and clock.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) profile: Profile,
    /// Whether replicas also write their state to a log store.
    pub(crate) uses_files: bool,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) now: u64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) network: Network,
    pub(crate) checker: Checker,
    pub(crate) commands: u64,
    pub(crate) next_voter: u64,
    pub(crate) next_disk: u64,
    pub(crate) lost_disks: u64,
    pub(crate) sync_max_micros: u64,
    pub(crate) seen_elections: u64,
    /// Replica that was last added as a voter, until it is restarted.
    pub(crate) added_voter: Option<id::VoterId>,
    /// Number of each proposed command by the position of the proposing node, index and term, until
    /// the node applies the entry.
    open: BTreeMap<(usize, id::Index, id::Term), u64>,
}

impl World {
    /// Creates and starts a group of `voters` first voters with the faults of [`Profile::Mixed`].
    pub(crate) fn new(seed: u64, voters: u64) -> Self {
        Self::with_profile(seed, voters, Profile::Mixed)
    }

    /// Creates and starts a group of `voters` first voters with the faults of `profile`.
    pub(crate) fn with_profile(seed: u64, voters: u64, profile: Profile) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let ids: Vec<_> = (1..=voters).map(id::VoterId::new).collect();
        let start = replica::Start::Found { voters: ids.clone() };
        let disk = |voter: &id::VoterId| id::DiskId::new(voter.get() * 1000);
        let nodes = ids.iter().map(|voter| Node::new(*voter, disk(voter), start.clone())).collect();
        let mut world = Self {
            profile,
            uses_files: false,
            rng,
            now: 1,
            nodes,
            network: Network::default(),
            checker: Checker::default(),
            commands: 0,
            next_voter: voters + 1,
            next_disk: 1,
            lost_disks: 0,
            sync_max_micros: 10_000,
            seen_elections: 0,
            added_voter: None,
            open: BTreeMap::new(),
        };
        world.network.delay_max_micros = 10_000;
        for position in 0..world.nodes.len() {
            world.start(position);
        }
        world
    }

    /// Returns the settings of a replica that starts with `start`.
    fn config(&self, start: replica::Start) -> replica::Config {
        let (min, max) = self.profile.election_timeout();
        let cfg = replica::Config::new(start)
            .election_timeout(min, max)
            .max_append_bytes(300)
            .max_in_flight_bytes(1_000)
            .snapshot_chunk_bytes(64)
            .retained_entries(5);
        cfg.validate().expect("valid settings");
        cfg
    }

    /// Starts the node at `position`.
    pub(crate) fn start(&mut self, position: usize) {
        if self.uses_files {
            self.nodes[position].files.get_or_insert_default();
        }
        let cfg = self.config(self.nodes[position].start.clone());
        self.nodes[position].start(&mut self.rng, self.now, cfg);
        self.perform(position);
    }

    /// Kills the node at `position`.
    pub(crate) fn crash(&mut self, position: usize) {
        self.checker.coverage.count("lost writes", self.nodes[position].unsynced.len() as u64);
        self.nodes[position].crash(&mut self.rng);
        self.open.retain(|(node, _, _), _| *node != position);
    }

    /// Kills the node at `position`; none of its unsynced writes reaches the disk.
    pub(crate) fn crash_without_unsynced(&mut self, position: usize) {
        self.checker.coverage.count("lost writes", self.nodes[position].unsynced.len() as u64);
        self.nodes[position].unsynced.clear();
        self.crash(position);
    }

    /// Advances time by `micros`: delivers messages, syncs writes and ticks replicas.
    pub(crate) fn advance(&mut self, micros: u64) {
        let end = self.now + micros;
        while let Some((at, from, to, message)) = self.network.arrived(end) {
            self.now = self.now.max(at);
            self.sync_due();
            let Some(position) = self.nodes.iter().position(|node| node.voter == to) else {
                continue;
            };
            let node = &mut self.nodes[position];
            if node.stalled_until > self.now {
                self.network.defer(node.stalled_until, from, to, message);
                continue;
            }
            let clock = node.clock(self.now);
            if let Some(replica) = &mut node.replica {
                replica.step(clock, from, message);
                self.perform(position);
                self.checker.check(&self.nodes, self.now);
            }
        }
        self.now = end;
        self.sync_due();
        for position in 0..self.nodes.len() {
            let node = &mut self.nodes[position];
            let clock = node.clock(self.now);
            let runs = node.stalled_until <= self.now;
            if let Some(replica) = node.replica.as_mut().filter(|_| runs) {
                replica.tick(clock);
                self.perform(position);
            }
        }
        self.checker.check(&self.nodes, self.now);
    }

    /// Proposes a command at the node at `position`, and returns its number if it was accepted.
    pub(crate) fn propose(&mut self, position: usize) -> Option<u64> {
        self.commands += 1;
        let number = self.commands;
        let mut data = number.to_le_bytes().to_vec();
        data.resize(8 + self.rng.random_range(0..100), 1);
        let node = &mut self.nodes[position];
        let clock = node.clock(self.now);
        let proposed = node.replica.as_mut()?.propose(clock, vec![Bytes::from(data)]);
        match proposed {
            Ok(proposed) => {
                self.open.insert((position, proposed.first, proposed.term), number);
            }
            Err(_) => {
                self.checker.refused.insert(number);
            }
        }
        self.perform(position);
        proposed.is_ok().then_some(number)
    }

    /// Sets whether replicas also write their state to a log store.
    pub(crate) fn keep_files(&mut self, uses_files: bool) {
        self.uses_files = uses_files;
        for node in self.nodes.iter_mut().filter(|_| uses_files) {
            node.files.get_or_insert_default();
        }
    }

    /// Returns the states of all nodes, for failure messages.
    pub(crate) fn describe(&self) -> String {
        let states = self.nodes.iter().map(|node| {
            let status = node.replica.as_ref().map(|replica| replica.status(node.clock(self.now)));
            format!("\n{} disk {} {:?}", node.voter, node.durable.disk, status)
        });
        states.collect()
    }

    /// Carries out the pending actions of the replica at `position`.
    pub(crate) fn perform(&mut self, position: usize) {
        loop {
            let node = &mut self.nodes[position];
            let Some(replica) = &mut node.replica else { return };
            let actions = replica.take_actions();
            assert!(replica.commit_index() >= node.commit, "the commit index decreased");
            node.commit = replica.commit_index();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.perform_action(position, action);
            }
        }
    }

    fn perform_action(&mut self, position: usize, action: replica::Action) {
        let from = self.nodes[position].voter;
        let has_state = self.nodes[position].machine != Machine::default();
        match action {
            replica::Action::Persist(write) => {
                self.checker.on_write(&self.nodes[position], &write);
                if let Some(snapshot) = &write.snapshot {
                    self.checker.on_snapshot(&snapshot.meta);
                }
                let at = self.draw_sync(position);
                self.nodes[position].unsynced.push_back((at, write));
            }
            replica::Action::Send { to, message } => {
                self.network.send(&mut self.rng, self.now, from, to, &message);
            }
            replica::Action::Commit { entries } => {
                for entry in entries {
                    self.apply(position, &entry);
                }
            }
            replica::Action::InstallSnapshot(snapshot) => {
                let machine = Machine::from_bytes(&snapshot.data);
                assert_eq!(machine.index, snapshot.meta.index, "snapshot at another index");
                self.checker.on_install(machine);
                self.checker.coverage.count("installed", u64::from(has_state));
                self.nodes[position].machine = machine;
            }
            replica::Action::Halt(replica::Halt::DiskReplaced { .. }) => {
                self.checker.coverage.count("refused disks", 1);
                self.nodes[position].halted = true;
            }
            replica::Action::Halt(replica::Halt::Removed { .. }) => {
                let disk = self.nodes[position].durable.disk;
                let was_removed = self.checker.was_removed(from, disk);
                assert!(was_removed, "member {from} is told that it was removed");
                self.checker.coverage.count("removed", 1);
                self.nodes[position].halted = true;
            }
            replica::Action::Halt(halt) => panic!("{halt}"),
            replica::Action::Truncated { .. } => self.checker.coverage.count("overwritten", 1),
            replica::Action::Role { .. } => {}
        }
    }

    /// Draws the time at which a write issued now by the node at `position` is synced.
    fn draw_sync(&mut self, position: usize) -> u64 {
        let node = &self.nodes[position];
        if let Some((min, max)) = node.sync_micros {
            return node.next_sync_at(self.now, self.rng.random_range(min..=max));
        }
        let earliest = node.unsynced.back().map_or(0, |(at, _)| *at);
        let delay = self.rng.random_range(0..=self.sync_max_micros);
        earliest.max(self.now + delay)
    }

    fn apply(&mut self, position: usize, entry: &entry::Entry) {
        let term =
            self.nodes[position].replica.as_ref().map_or(id::Term::ZERO, replica::Replica::term);
        let machine = &mut self.nodes[position].machine;
        machine.apply(entry);
        self.checker.on_apply(entry, *machine, term);
        if let Some(number) = self.open.remove(&(position, entry.index, entry.term)) {
            if let entry::Payload::Data(data) = &entry.payload {
                assert_eq!(checker::command_number(data), number);
            }
            self.checker.on_acknowledge(number, entry.index);
        }
    }

    fn sync_due(&mut self) {
        for position in 0..self.nodes.len() {
            let now = self.now;
            let node = &mut self.nodes[position];
            if node.stalled_until > now || node.disk_hangs {
                continue;
            }
            let mut newest = None;
            while node.unsynced.front().is_some_and(|(at, _)| *at <= now) {
                let Some((_, write)) = node.unsynced.pop_front() else { break };
                node.write(&write);
                newest = Some(write.sequence);
            }
            let clock = node.clock(now);
            if let (Some(sequence), Some(replica)) = (newest, &mut node.replica) {
                replica.persisted(clock, sequence);
                self.perform(position);
            }
        }
    }
}
