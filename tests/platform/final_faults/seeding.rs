use std::time::{Duration, Instant};

use rand::RngExt as _;
use rand::rngs::StdRng;

/// Age of the operator's list from which the platform takes the seeds.
const LAG: Duration = Duration::from_secs(3);
/// Number of seeds that a process is told.
const SEEDS: usize = 3;

/// Which seeds a process is told when it starts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Mode {
    /// Three schedulers of the operator's list, as it was a little earlier.
    HandedOut,
    /// The founders, also when they are gone.
    Stale,
}

/// The operator's list of schedulers and its history.
pub(super) struct Seeding {
    mode: Mode,
    /// Lists and the times from which they were valid, in order.
    lists: Vec<(Instant, Vec<usize>)>,
}

impl Seeding {
    /// Creates the list of a system that starts with `schedulers` schedulers.
    pub(super) fn new(mode: Mode, schedulers: usize) -> Self {
        Self { mode, lists: vec![(Instant::now(), (0..schedulers).collect())] }
    }

    /// Returns whether processes are told the founders for ever.
    pub(super) fn is_stale(&self) -> bool {
        self.mode == Mode::Stale
    }

    /// Returns the seeds of the first start, which are the founders.
    pub(super) fn founders() -> Vec<usize> {
        (0..SEEDS).collect()
    }

    /// Returns the schedulers in the list.
    pub(super) fn listed(&self) -> Vec<usize> {
        self.lists.last().expect("the first list").1.clone()
    }

    pub(super) fn add(&mut self, member: usize) {
        let mut list = self.listed();
        list.push(member);
        self.lists.push((Instant::now(), list));
    }

    pub(super) fn remove(&mut self, member: usize) {
        let mut list = self.listed();
        list.retain(|listed| *listed != member);
        self.lists.push((Instant::now(), list));
    }

    /// Returns the seeds of a process that starts now.
    pub(super) fn draw(&self, rng: &mut StdRng) -> Vec<usize> {
        if self.is_stale() {
            return Self::founders();
        }
        let now = Instant::now();
        let is_valid = |(from, _): &&(Instant, Vec<usize>)| now.duration_since(*from) >= LAG;
        let valid = self.lists.iter().rev().find(is_valid);
        let mut list = valid.unwrap_or(&self.lists[0]).1.clone();
        let mut seeds = Vec::new();
        while seeds.len() < SEEDS && !list.is_empty() {
            seeds.push(list.swap_remove(rng.random_range(0..list.len())));
        }
        seeds
    }
}
