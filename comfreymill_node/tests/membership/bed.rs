//! Replicas with their planners in simulated time, with a delay of messages and of syncs.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use comfreymill_group::id;
use comfreymill_group::membership;
use comfreymill_group::message;
use comfreymill_group::replica;
use comfreymill_node::scheduler::{MembershipPlanner, VoterReport};
use comfreymill_types::time;
use rand::{RngExt, SeedableRng};

/// Number of voters that the group wants.
pub(super) const VOTERS: usize = 5;
/// Number of members that found the group.
const FOUNDERS: usize = 3;
const STEP: Duration = Duration::from_millis(5);
/// Trip of a message; regions are 20 ms apart.
const TRIP: Duration = Duration::from_millis(10);
const SYNC: Duration = Duration::from_millis(6);
/// Interval between two ticks of a process.
const TICK: Duration = Duration::from_millis(20);
const ELECTION_TIMEOUT: Duration = Duration::from_millis(500);
const HEARTBEAT: Duration = Duration::from_millis(100);
const SNAPSHOT_ENTRIES: u64 = 400;
/// Longest time for which a test waits for a condition.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Machine with one process.
struct Machine {
    replica: Option<replica::Replica>,
    planner: MembershipPlanner,
    syncing: Option<(time::Monotonic, id::Sequence)>,
    unsynced: Option<id::Sequence>,
    sync: Duration,
    frozen_until: time::Monotonic,
    /// Until when messages of the present process are on their way.
    held_until: time::Monotonic,
}

/// Message on its way, with the address that it goes to.
struct Letter {
    arrives_at: time::Monotonic,
    from: id::VoterId,
    to: usize,
    message: message::Message,
}

/// Machines, each of which has its place as its address.
pub(super) struct Bed {
    pub(super) now: time::Monotonic,
    seed: u64,
    incarnations: u64,
    /// Number of commands that are proposed in each step.
    pub(super) commands: usize,
    /// Percentage of the messages that are lost.
    pub(super) loss_percent: u32,
    /// Addresses on one side of a cut; no message passes it.
    pub(super) cut_off: Vec<usize>,
    rng: rand_chacha::ChaCha8Rng,
    machines: Vec<Machine>,
    letters: VecDeque<Letter>,
}

impl Bed {
    /// Starts three founders and two joiners, and waits until all are voters.
    pub(super) fn start(seed: u64) -> Self {
        let now = time::Monotonic::from_millis(1_000);
        let (machines, letters) = (Vec::new(), VecDeque::new());
        let mut bed = Self {
            now,
            seed,
            incarnations: 0,
            commands: 0,
            loss_percent: 0,
            cut_off: Vec::new(),
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            machines,
            letters,
        };
        for _ in 0..VOTERS {
            bed.add();
        }
        bed.wait("the founding", Self::is_whole);
        bed
    }

    /// Adds a machine with an empty disk and returns its address.
    pub(super) fn add(&mut self) -> usize {
        self.machines.push(Machine {
            replica: None,
            planner: MembershipPlanner::new(VOTERS),
            syncing: None,
            unsynced: None,
            sync: SYNC,
            frozen_until: time::Monotonic::ZERO,
            held_until: time::Monotonic::ZERO,
        });
        let address = self.machines.len() - 1;
        self.run(address);
        address
    }

    /// Starts a machine with an empty disk.
    pub(super) fn run(&mut self, address: usize) {
        self.incarnations += 1;
        let founders: Vec<id::VoterId> = (0..FOUNDERS).map(founder).collect();
        let is_founder = self.machines.len() <= VOTERS && address < FOUNDERS;
        let (voter, start) = if is_founder && self.incarnations <= VOTERS as u64 {
            (founder(address), replica::Start::Found { voters: founders })
        } else {
            let voter = id::VoterId::new(founder(address).get() | self.incarnations);
            (voter, replica::Start::Join { peers: founders })
        };
        let disk = id::DiskId::new(self.incarnations);
        let recovered = replica::Recovered { voter, disk, ..replica::Recovered::default() };
        let cfg = replica::Config::new(start)
            .election_timeout(ELECTION_TIMEOUT, ELECTION_TIMEOUT * 2)
            .heartbeat(HEARTBEAT);
        let seed = self.seed << 16 | self.incarnations;
        let machine = &mut self.machines[address];
        machine.replica = Some(replica::Replica::new(cfg, recovered, seed, self.now));
        machine.planner = MembershipPlanner::new(VOTERS);
        machine.held_until = time::Monotonic::ZERO;
        (machine.syncing, machine.unsynced) = (None, None);
    }

    /// Takes a machine away, with its disk.
    pub(super) fn kill(&mut self, address: usize) {
        self.machines[address].replica = None;
        self.letters.retain(|letter| letter.to != address);
    }

    /// Stops the process of a machine for a while.
    pub(super) fn freeze(&mut self, address: usize, span: Duration) {
        self.machines[address].frozen_until = self.now + span;
    }

    /// Holds up the messages of the present process of a machine for a while, also when it has ended.
    pub(super) fn hold_messages(&mut self, address: usize, span: Duration) {
        self.machines[address].held_until = self.now + span;
    }

    /// Returns the member that runs on a machine.
    pub(super) fn identity(&self, address: usize) -> Option<id::VoterId> {
        self.machines[address].replica.as_ref().map(replica::Replica::voter)
    }

    /// Returns a machine that leads, whether it serves or not.
    pub(super) fn any_leader(&self) -> Option<usize> {
        let replica = |address: &usize| self.machines[*address].replica.as_ref();
        let mut addresses = 0..self.machines.len();
        addresses.find(|address| {
            replica(address).is_some_and(|replica| replica.role() == replica::Role::Leader)
        })
    }

    /// Returns whether any machine leads.
    pub(super) fn leads_any(&self) -> bool {
        self.any_leader().is_some()
    }

    /// Sets how long the syncs of a machine take.
    pub(super) fn set_sync(&mut self, address: usize, sync: Duration) {
        self.machines[address].sync = sync;
    }

    /// Returns the leader that serves, if there is one.
    pub(super) fn leader(&self) -> Option<usize> {
        (0..self.machines.len()).find(|address| self.serving(*address).is_some())
    }

    /// Returns the membership as the leader knows it, if there is a leader.
    pub(super) fn membership(&self) -> Option<&membership::Membership> {
        self.leader().and_then(|leader| self.serving(leader)).map(replica::Replica::membership)
    }

    /// Returns what the leader reports of the members, if there is a leader.
    pub(super) fn report(&self) -> Option<VoterReport> {
        let leader = self.leader().and_then(|leader| self.serving(leader));
        leader.map(|leader| VoterReport::new(&leader.status(self.now), VOTERS))
    }

    /// Returns whether a running process is a voter with its disk, as the leader knows the membership.
    pub(super) fn is_voter(&self, address: usize) -> bool {
        let own = self.machines[address].replica.as_ref();
        own.zip(self.membership())
            .is_some_and(|(own, members)| members.is_voter(own.voter(), own.disk()))
    }

    /// Returns whether the leader counts five voters and all of them are running processes.
    pub(super) fn is_whole(&self) -> bool {
        let live = (0..self.machines.len()).filter(|address| self.is_voter(*address)).count();
        live == VOTERS && self.membership().is_some_and(|all| all.voters().count() == VOTERS)
    }

    /// Lets time pass until a condition is met, and returns how long it took.
    pub(super) fn wait<F>(&mut self, what: &str, is_met: F) -> Duration
    where
        F: Fn(&Self) -> bool,
    {
        let began = self.now;
        while !is_met(self) {
            let members = self.membership();
            assert!(self.now.since(began) < WAIT_LIMIT, "seed {}: {what}: {members:?}", self.seed);
            self.step();
        }
        self.now.since(began)
    }

    /// Lets time pass.
    pub(super) fn pass(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }

    fn serving(&self, address: usize) -> Option<&replica::Replica> {
        let is_running = self.now >= self.machines[address].frozen_until;
        let replica = self.machines[address].replica.as_ref().filter(|_| is_running);
        replica.filter(|replica| replica.lease_valid(self.now) && replica.is_ready())
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let (due, later): (VecDeque<Letter>, _) = std::mem::take(&mut self.letters)
            .into_iter()
            .partition(|letter| letter.arrives_at <= self.now && !self.is_frozen(letter.to));
        self.letters = later;
        for letter in due {
            if self.is_lost(&letter) {
                continue;
            }
            if let Some(replica) = &mut self.machines[letter.to].replica {
                replica.step(self.now, letter.from, letter.message);
            }
        }
        let addresses: Vec<id::VoterId> = (0..self.machines.len()).map(founder).collect();
        for address in 0..self.machines.len() {
            if !self.is_frozen(address) {
                self.run_process(address, &addresses);
            }
        }
    }

    fn is_lost(&mut self, letter: &Letter) -> bool {
        let from = address(letter.from);
        let is_cut = self.cut_off.contains(&from) != self.cut_off.contains(&letter.to);
        is_cut || self.rng.random_range(0..100) < self.loss_percent
    }

    fn is_frozen(&self, address: usize) -> bool {
        self.now < self.machines[address].frozen_until
    }

    fn run_process(&mut self, address: usize, addresses: &[id::VoterId]) {
        let (now, commands) = (self.now, self.commands);
        let machine = &mut self.machines[address];
        let Some(replica) = &mut machine.replica else { return };
        if let Some((_, sequence)) = machine.syncing.take_if(|(synced_at, _)| *synced_at <= now) {
            replica.persisted(now, sequence);
        }
        if now.as_micros().is_multiple_of(TICK.as_micros() as u64) {
            let others = addresses.iter().copied().filter(|other| *other != founder(address));
            replica.set_announce_targets(others.collect());
            replica.tick(now);
            if replica.lease_valid(now)
                && replica.is_ready()
                && let Some(change) = machine.planner.check(now, replica)
            {
                // A change that is not possible yet is decided on again later.
                replica.change_membership(now, change).ok();
            }
        }
        if commands > 0 && replica.lease_valid(now) {
            // Refused commands are not missed.
            replica.propose(now, vec![Bytes::from_static(&[7; 100]); commands]).ok();
        }
        if replica.entries_since_snapshot() >= SNAPSHOT_ENTRIES {
            let _ =
                replica.snapshot_taken(replica.delivered_index(), Bytes::from(vec![7; 200_000]));
        }
        let mut actions = VecDeque::from(replica.take_actions());
        while let Some(action) = actions.pop_front() {
            match action {
                replica::Action::Persist(write) => machine.unsynced = Some(write.sequence),
                replica::Action::Send { to, message } => {
                    let to = self::address(to);
                    let (from, arrives_at) =
                        (replica.voter(), (now + TRIP).max(machine.held_until));
                    self.letters.push_back(Letter { arrives_at, from, to, message });
                }
                _ => {}
            }
        }
        if machine.syncing.is_none() {
            let next = machine.unsynced.take();
            machine.syncing = next.map(|sequence| (now + machine.sync, sequence));
        }
        if replica.halted().is_some() {
            // The process rejoins with an empty folder.
            self.run(address);
        }
    }
}

/// Returns the id of the first member at an address; the upper half is the address.
fn founder(address: usize) -> id::VoterId {
    id::VoterId::new((address as u64 + 1) << 32)
}

/// Returns the address of a member.
fn address(member: id::VoterId) -> usize {
    usize::try_from(member.get() >> 32).expect("few machines") - 1
}
