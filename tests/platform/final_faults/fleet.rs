use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom as _;
use rand::{RngExt as _, SeedableRng as _};

use super::final_fault::FinalFault;
use super::seeding::{Mode, Seeding};
use crate::platform::group_bed::GroupBed;
use crate::platform::standin;

const SCHEDULERS: usize = 5;
const GATEWAYS: usize = 4;
/// Highest number of schedulers that may be lost at the same time.
const FAULT_TOLERANCE: usize = 2;
/// Time for which a scheduler counts as lost after it is back or has started.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Number of schedulers that are added beyond the first ones.
const MAX_ADDED: usize = 2;
/// Highest number of schedulers in all, over a play.
const MAX_SCHEDULERS: usize = 12;
/// Time after which a successor starts that replaces a scheduler at once.
const SOON_MS: std::ops::Range<u64> = 50..100;
/// Interval between counts of the live voters.
const SAMPLE_PERIOD: Duration = Duration::from_millis(250);
const STEP: Duration = Duration::from_millis(50);

/// A process that a fault concerns.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Process {
    Scheduler(usize),
    Gateway(usize),
}

/// What ends a fault.
#[derive(Clone, Copy, Debug)]
enum Recovery {
    Start,
    Thaw,
    /// Another scheduler starts at a new address.
    Successor,
}

/// Schedulers and gateways under faults that overlap within what may be lost at the same time.
pub(super) struct Fleet {
    bed: GroupBed,
    rng: StdRng,
    seeding: Seeding,
    controls: standin::Controls,
    gateways: Vec<SocketAddr>,
    /// Number of schedulers that were started, some of which are gone.
    started: usize,
    added: usize,
    /// Schedulers that count as lost, until a time that is known once they are back.
    lost: BTreeMap<usize, Option<Instant>>,
    /// Processes that are down or frozen.
    pending: BTreeMap<Process, (Instant, Recovery)>,
    sampled_at: Instant,
    /// Live voters in the last sample.
    voters: usize,
    events: fs::File,
}

impl Fleet {
    /// Starts the processes, and waits until all schedulers are members.
    pub(super) fn start(seed: u64, mode: Mode) -> Self {
        let mut bed = GroupBed::empty(SCHEDULERS, "max_lease: 10s\n");
        let events = fs::File::create(bed.folder().join("events.log")).expect("a log");
        bed.set_seeds(Seeding::founders());
        for _ in 0..SCHEDULERS {
            bed.add();
        }
        let gateways = (0..GATEWAYS).map(|_| bed.add_gateway()).collect();
        bed.wait("all schedulers to be members", || {
            bed.members(bed.wait_for_leader()).len() == SCHEDULERS
        });
        let controls: Vec<SocketAddr> = (0..SCHEDULERS).map(|member| bed.control(member)).collect();
        let caught_up_at = Instant::now() + CATCH_UP;
        Self {
            bed,
            rng: StdRng::seed_from_u64(seed),
            seeding: Seeding::new(mode, SCHEDULERS),
            controls: standin::Controls::from(controls),
            gateways,
            started: SCHEDULERS,
            added: 0,
            lost: (0..SCHEDULERS).map(|member| (member, Some(caught_up_at))).collect(),
            pending: BTreeMap::new(),
            sampled_at: Instant::now(),
            voters: SCHEDULERS,
            events,
        }
    }

    pub(super) fn bed(&self) -> &GroupBed {
        &self.bed
    }

    /// Returns the operator's list of control addresses.
    pub(super) fn controls(&self) -> &standin::Controls {
        &self.controls
    }

    pub(super) fn gateways(&self) -> &[SocketAddr] {
        &self.gateways
    }

    /// Returns the folder of the logs.
    pub(super) fn logs(&self) -> &Path {
        self.bed.folder()
    }

    /// Causes `count` faults in series; returns when all processes are back.
    pub(super) fn disturb(&mut self, count: usize) {
        for _ in 0..count {
            while self.lost.len() >= FAULT_TOLERANCE {
                self.step();
            }
            self.cause_fault();
            let pause = Duration::from_millis(self.rng.random_range(0..2_500));
            self.wait(pause);
        }
        self.wait_until_back();
    }

    fn wait_until_back(&mut self) {
        while !self.pending.is_empty() {
            self.step();
        }
    }

    /// Waits while faults go on.
    fn wait(&mut self, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            self.step();
        }
    }

    /// Removes the leader and another founder for good at once; their successors start soon after.
    pub(super) fn replace_leader_and_founder(&mut self) {
        let leader = self.bed.wait_for_leader();
        let other = self.sound_founders().into_iter().find(|member| *member != leader);
        self.remove(other.expect("a founder"), SOON_MS);
        self.remove(leader, SOON_MS);
        self.wait_until_back();
    }

    /// Waits until no scheduler counts as lost.
    pub(super) fn catch_up(&mut self) {
        while !self.lost.is_empty() {
            self.step();
        }
    }

    /// Waits until there are five live voters, for `timeout` at most; returns their number.
    pub(super) fn wait_for_voters(&mut self, timeout: Duration) -> usize {
        let began = Instant::now();
        self.sample();
        while self.voters < SCHEDULERS && began.elapsed() < timeout {
            self.step();
        }
        self.voters
    }

    /// Causes the final fault; returns when all processes are back.
    pub(super) fn end(&mut self, fault: FinalFault) {
        let voters = self.live_voters();
        self.note(format_args!("final fault {fault:?}, live voters before: {voters:?}"));
        let wiped = if fault.loses_disks() { self.disks_to_lose() } else { Vec::new() };
        let listed = self.seeding.listed();
        let killed = listed.iter().filter(|_| fault.kills_schedulers());
        let killed = killed.filter(|member| !wiped.contains(member));
        let killed: Vec<usize> = killed.copied().collect();
        for member in wiped.iter().chain(&killed) {
            self.bed.signal(*member, Signal::SIGKILL);
        }
        if fault.kills_gateways() {
            for number in 0..GATEWAYS {
                self.bed.kill_gateway(number);
                self.return_later(Process::Gateway(number), Recovery::Start, 500..1_600);
            }
        }
        for member in wiped {
            self.note(format_args!("{member} loses its disk"));
            self.bed.wipe(member);
            self.return_later(Process::Scheduler(member), Recovery::Start, 500..1_600);
        }
        for member in killed {
            self.note(format_args!("{member} is killed"));
            self.bed.kill(member);
            self.return_later(Process::Scheduler(member), Recovery::Start, 500..1_600);
        }
        self.wait_until_back();
        self.note(format_args!("all are back"));
    }

    /// Returns the running schedulers that have a vote.
    fn live_voters(&self) -> Vec<usize> {
        let is_running = |member: &usize| !self.pending.contains_key(&Process::Scheduler(*member));
        let has_vote = |member: &usize| {
            let status = self.bed.status(*member);
            matches!(status["role"].as_str(), Some("follower" | "candidate" | "leader"))
        };
        let listed = self.seeding.listed().into_iter();
        listed.filter(is_running).filter(has_vote).collect()
    }

    /// Notes an event beside the logs of the processes.
    pub(super) fn note(&mut self, event: fmt::Arguments<'_>) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
        writeln!(self.events, "{:.3} {event}", now.as_secs_f64()).expect("the event is written");
    }

    /// Brings back what is due.
    fn step(&mut self) {
        let now = Instant::now();
        self.lost.retain(|_, until| until.is_none_or(|until| until > now));
        let due = self.pending.iter().filter(|(_, (at, _))| *at <= now);
        let due: Vec<(Process, Recovery)> =
            due.map(|(process, (_, recovery))| (*process, *recovery)).collect();
        for (process, recovery) in due {
            self.pending.remove(&process);
            self.recover(process, recovery);
        }
        if self.sampled_at.elapsed() >= SAMPLE_PERIOD {
            self.sample();
        }
        thread::sleep(STEP);
    }

    /// Notes the number of live voters if it has changed.
    fn sample(&mut self) {
        let (voters, down) = (self.live_voters().len(), self.pending.len());
        self.sampled_at = Instant::now();
        if std::mem::replace(&mut self.voters, voters) != voters {
            self.note(format_args!("{voters} live voters, {down} processes down"));
        }
    }

    fn recover(&mut self, process: Process, recovery: Recovery) {
        let seeds = self.seeding.draw(&mut self.rng);
        self.bed.set_seeds(seeds.clone());
        match (process, recovery) {
            (Process::Gateway(number), _) => self.bed.run_gateway(number),
            (Process::Scheduler(member), Recovery::Start) => {
                self.bed.run_later(member);
                self.expect_caught_up(member);
            }
            (Process::Scheduler(member), Recovery::Thaw) => {
                self.bed.signal(member, Signal::SIGCONT);
                self.expect_caught_up(member);
            }
            (Process::Scheduler(member), Recovery::Successor) => {
                self.lost.remove(&member);
                self.add();
            }
        }
        self.note(format_args!("{process:?}: {recovery:?}, seeds {seeds:?}"));
    }

    fn cause_fault(&mut self) {
        let sound: Vec<usize> = self.seeding.listed();
        let sound: Vec<usize> =
            sound.into_iter().filter(|member| !self.lost.contains_key(member)).collect();
        let Some(member) = sound.choose(&mut self.rng).copied() else { return };
        let process = Process::Scheduler(member);
        match self.rng.random_range(0..100) {
            0..20 => {
                self.note(format_args!("{member} is killed"));
                self.bed.kill(member);
                self.lost.insert(member, None);
                self.return_later(process, Recovery::Start, 300..2_000);
            }
            20..45 => {
                self.note(format_args!("{member} loses its disk"));
                self.bed.wipe(member);
                self.lost.insert(member, None);
                self.return_later(process, Recovery::Start, 300..2_000);
            }
            45..60 => {
                self.note(format_args!("{member} is frozen"));
                self.bed.signal(member, Signal::SIGSTOP);
                self.lost.insert(member, None);
                self.return_later(process, Recovery::Thaw, 2_000..6_000);
            }
            60..82 => self.replace(&sound),
            82..90 if self.added < MAX_ADDED && self.started < MAX_SCHEDULERS => {
                self.added += 1;
                let member = self.add();
                self.note(format_args!("{member} is added"));
            }
            _ => self.restart_gateway(),
        }
    }

    /// Removes a scheduler for good, which is replaced by one at a new address; seeds go first.
    fn replace(&mut self, sound: &[usize]) {
        let founders = self.sound_founders();
        let is_last = founders.len() == 1 && self.seeding.is_stale();
        let candidate = if is_last { None } else { founders.first() };
        let others: Vec<usize> =
            sound.iter().copied().filter(|member| !founders.contains(member)).collect();
        let member = candidate.or(others.first()).copied();
        let Some(member) = member.filter(|_| self.started < MAX_SCHEDULERS) else { return };
        self.remove(member, 300..2_000);
    }

    /// Removes a scheduler for good; its successor starts at a new address after a time in the range.
    fn remove(&mut self, member: usize, ms: std::ops::Range<u64>) {
        self.note(format_args!("{member} is removed for good"));
        self.bed.kill(member);
        self.seeding.remove(member);
        self.publish();
        self.lost.insert(member, None);
        self.return_later(Process::Scheduler(member), Recovery::Successor, ms);
    }

    fn restart_gateway(&mut self) {
        let number = self.rng.random_range(0..GATEWAYS);
        if self.pending.contains_key(&Process::Gateway(number)) {
            return;
        }
        self.note(format_args!("gateway {number} is killed"));
        self.bed.kill_gateway(number);
        self.return_later(Process::Gateway(number), Recovery::Start, 300..2_000);
    }

    /// Starts a scheduler at a new address.
    fn add(&mut self) -> usize {
        let member = self.bed.add_later();
        self.started += 1;
        self.seeding.add(member);
        self.publish();
        self.expect_caught_up(member);
        member
    }

    /// Returns two schedulers with a vote whose disks are lost; mostly founders.
    fn disks_to_lose(&mut self) -> Vec<usize> {
        let mut order = if self.rng.random_bool(0.75) { self.sound_founders() } else { Vec::new() };
        let mut others = self.live_voters();
        order.retain(|member| others.contains(member));
        others.retain(|member| !order.contains(member));
        while !others.is_empty() {
            order.push(others.swap_remove(self.rng.random_range(0..others.len())));
        }
        order.truncate(FAULT_TOLERANCE);
        order
    }

    /// Returns the founders that are in the list and do not count as lost.
    fn sound_founders(&self) -> Vec<usize> {
        let founders = Seeding::founders();
        let is_sound =
            |member: &usize| founders.contains(member) && !self.lost.contains_key(member);
        self.seeding.listed().into_iter().filter(is_sound).collect()
    }

    fn expect_caught_up(&mut self, member: usize) {
        self.lost.insert(member, Some(Instant::now() + CATCH_UP));
    }

    fn return_later(&mut self, process: Process, recovery: Recovery, ms: std::ops::Range<u64>) {
        let after = Duration::from_millis(self.rng.random_range(ms));
        self.pending.insert(process, (Instant::now() + after, recovery));
    }

    fn publish(&self) {
        let listed = self.seeding.listed().into_iter();
        self.controls.set(listed.map(|member| self.bed.control(member)).collect());
    }
}
