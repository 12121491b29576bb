use crate::store::faulty_disk::FaultyDisk;
use crate::store::forgetful_disk::{ForgetfulDisk, Loss};
use crate::store::model::{self, Model};
use comfreymill_group::{id, replica, store};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::env;

const DEFAULT_SEEDS: u64 = 12;
const BATCHES: usize = 10;
const ATTEMPTS: u64 = 8;

/// States that a folder may hold, and the acknowledged identity of its replica.
struct Run {
    disk: ForgetfulDisk,
    identity: Option<id::DiskId>,
    states: Vec<Model>,
    acknowledged: usize,
}

impl Run {
    /// Opens a store and writes to it until the disk fails after `operations` operations.
    fn new(seed: u64, operations: u64) -> Self {
        let disk = ForgetfulDisk::default();
        disk.fail_after(operations);
        let mut run =
            Self { disk, identity: None, states: vec![Model::default()], acknowledged: 0 };
        run.write(seed);
        run
    }

    fn write(&mut self, seed: u64) {
        let Ok((mut store, recovered)) = open(&self.disk) else { return };
        self.identity = Some(recovered.disk);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for _ in 0..BATCHES {
            let mut batch = Vec::new();
            for _ in 0..rng.random_range(1..4) {
                let mut next = self.states[self.states.len() - 1].clone();
                let write = model::write_in(&next, &mut rng);
                next.write(&write);
                self.states.push(next);
                batch.push(write);
            }
            if store.write(batch).is_err() {
                return;
            }
            self.acknowledged = self.states.len() - 1;
        }
    }

    /// Fails some openings at random operations, then opens the store and checks its state.
    fn recover(&self, rng: &mut ChaCha8Rng) -> Result<Model, String> {
        for _ in 0..rng.random_range(0..4) {
            self.disk.fail_after(rng.random_range(0..14));
            open(&self.disk).ok();
            self.disk.crash(rng);
        }
        let (_, recovered) = open(&self.disk).map_err(|error| error.to_string())?;
        if self.identity.is_some_and(|identity| identity != recovered.disk) {
            return Err("the identity is lost".to_owned());
        }
        let found = Model::of(recovered);
        let allowed = &self.states[self.acknowledged..];
        let is_allowed = allowed.iter().any(|state| {
            let is_same_log = state.snapshot == found.snapshot && state.entries == found.entries;
            // The snapshot of a write is durable before its term and vote are.
            is_same_log && (state.hard_state == found.hard_state || found.snapshot.is_some())
        });
        let message = || format!("recovered {found:?}, expected one of {allowed:?}");
        if is_allowed { Ok(found) } else { Err(message()) }
    }
}

fn open(
    disk: &ForgetfulDisk,
) -> Result<(store::Store<ForgetfulDisk>, replica::Recovered), store::StoreError> {
    store::Store::open(disk.clone(), model::options())
}

/// Returns the seeds to run; a longer run is started by hand.
pub(crate) fn seeds() -> std::ops::Range<u64> {
    let number = |name| env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = number("COMFREYMILL_FIRST_SEED").unwrap_or(0);
    first..first + number("COMFREYMILL_POWER_LOSS_SEEDS").unwrap_or(DEFAULT_SEEDS)
}

/// Calls `check` several times for each operation at which the run of each seed can fail.
fn check_each_failure<F>(check: F)
where
    F: Fn(Run, &mut ChaCha8Rng) -> Result<(), String>,
{
    let (mut runs, mut faults) = (0, Vec::new());
    for seed in seeds() {
        let operations = Run::new(seed, u64::MAX / 2).disk.operations();
        for failed in 0..=operations {
            for attempt in 0..ATTEMPTS {
                let mut rng = ChaCha8Rng::seed_from_u64(seed << 32 | failed << 8 | attempt);
                let checked = check(Run::new(seed, failed), &mut rng);
                let at = format!("seed {seed}, operation {failed}, attempt {attempt}");
                faults.extend(checked.err().map(|fault| format!("{at}: {fault}")));
                runs += 1;
            }
        }
    }
    eprintln!("{} faults in {runs} runs", faults.len());
    assert!(
        faults.is_empty(),
        "{} of {runs} runs: {:#?}",
        faults.len(),
        &faults[..5.min(faults.len())]
    );
}

#[test]
fn no_loss_of_power_loses_what_was_acknowledged_or_prevents_a_start() {
    check_each_failure(|run, rng| {
        run.disk.lose_power(Loss::ALL[rng.random_range(0..Loss::ALL.len())], rng);
        run.recover(rng).map(|_| ())
    });
}

#[test]
fn losses_of_power_after_a_kill_lose_nothing_acknowledged_and_prevent_no_start() {
    check_each_failure(|run, rng| {
        run.disk.restart();
        run.disk.fail_after(rng.random_range(0..14));
        open(&run.disk).ok();
        run.disk.lose_power(Loss::ALL[rng.random_range(0..Loss::ALL.len())], rng);
        run.recover(rng).map(|_| ())
    });
}

#[test]
fn a_store_that_is_interrupted_in_turn_keeps_what_was_acknowledged() {
    check_each_failure(|mut run, rng| {
        for _ in 0..3 {
            run.disk.crash(rng);
            run.states = vec![run.recover(rng)?];
            run.acknowledged = 0;
            run.disk.fail_after(rng.random_range(0..60));
            run.write(rng.random());
        }
        run.disk.crash(rng);
        run.recover(rng).map(|_| ())
    });
}

/// A scheduler never started again, since some of the removed segments were back after a power
/// loss, without the one that followed them.
#[test]
fn removed_segments_that_come_back_prevent_no_start() {
    let disk = FaultyDisk::default();
    let (mut store, _) = store::Store::open(disk.clone(), model::options()).expect("opens");
    for index in 1..=30 {
        store.write(vec![model::append(index)]).expect("writes");
    }
    let before = disk.files();
    store.write(vec![model::snapshot(30), model::append(31)]).expect("writes");
    let expected = Model::of(model::open(&disk.files()).expect("opens").1);
    let removed: Vec<_> = before.keys().filter(|name| !disk.files().contains_key(*name)).collect();
    assert!(removed.len() > 2, "only {removed:?} were removed");
    for first in 0..removed.len() - 1 {
        let mut files = disk.files();
        for name in &removed[..=first] {
            files.insert((*name).clone(), before[*name].clone());
        }
        let opened = FaultyDisk::with_files(&files);
        let (_, recovered) = store::Store::open(opened.clone(), model::options()).expect("opens");
        assert_eq!(Model::of(recovered), expected);
        assert_eq!(opened.files(), disk.files(), "the segments are not removed again");
    }
}
