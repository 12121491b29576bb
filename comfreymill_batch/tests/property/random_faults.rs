use std::time::Duration;

use comfreymill_batch::action;
use comfreymill_batch::config;
use comfreymill_types::id;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::simulation::{Behaviour, FakeWorker, Faults, Simulation, resources, task_view};

const CLASSES: [&str; 6] = ["check", "certificate", "rush", "idle", "watch", "local"];
const TEAMS: [&str; 3] = ["issue", "watchers", "small"];

/// Seed of a scenario. It is not shrunk, since a smaller seed is not a simpler scenario.
#[derive(Clone, Copy, Debug)]
struct Seed(u64);

impl Arbitrary for Seed {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(u64::arbitrary(g))
    }
}

/// Task that a scenario submits, with what decides how it may end.
struct Expectation {
    id: id::TaskId,
    class: &'static str,
    fails: bool,
    cancelled: bool,
}

fn settings(seed: u64, policy: config::Policy) -> config::Config {
    let quarantine = config::Quarantine {
        tasks: 3,
        first_wait: Duration::from_secs(10),
        longest_wait: Duration::from_secs(60),
    };
    config::Config::new()
        .lease(Duration::from_secs(6))
        .drift_ppm(100_000)
        .policy(policy)
        .quarantine(quarantine)
        .seed(seed)
}

fn fleet(rng: &mut ChaCha8Rng) -> Vec<FakeWorker> {
    let zones = ["hobart-a", "kingston-b", "launceston-a"];
    let mut workers: Vec<FakeWorker> = (0..6)
        .map(|i| {
            let mut worker = FakeWorker::new(i, zones[i % 3], resources(6, 16, 0));
            worker.clock_ppm = rng.random_range(960_000..=1_040_000);
            worker
        })
        .collect();
    workers[5].fails_everything = rng.random_range(0..2) == 0;
    workers
}

fn program(rng: &mut ChaCha8Rng, class: &str) -> Behaviour {
    let units = if class == "watch" { u32::MAX } else { rng.random_range(2..30) };
    let every = rng.random_range(0..8);
    Behaviour {
        units,
        checkpoint_every: (every > 2).then_some(every),
        can_checkpoint: rng.random_range(0..4) > 0,
        fails: class != "watch" && rng.random_range(0..12) == 0,
    }
}

fn submit_some(simulation: &mut Simulation, expected: &mut Vec<Expectation>) {
    if simulation.rng.random_range(0..10) > 0 {
        return;
    }
    let class = CLASSES[simulation.rng.random_range(0..CLASSES.len())];
    let team = match class {
        "watch" => "watchers",
        _ => TEAMS[simulation.rng.random_range(0..TEAMS.len())],
    };
    let job = expected.len() as u64 + 1;
    let view = task_view(job, team, class);
    let behaviour = program(&mut simulation.rng, class);
    expected.push(Expectation { id: view.id, class, fails: behaviour.fails, cancelled: false });
    simulation.submit(view, behaviour);
}

fn cancel_some(simulation: &mut Simulation, expected: &mut [Expectation]) {
    if expected.is_empty() || simulation.rng.random_range(0..60) > 0 {
        return;
    }
    let burst = simulation.rng.random_range(1..4);
    for _ in 0..burst {
        let pick = simulation.rng.random_range(0..expected.len());
        expected[pick].cancelled = true;
        simulation.cancel(expected[pick].id);
    }
}

/// Returns whether the task is in one of the final states allowed for its class.
fn is_in_allowed_end_state(simulation: &Simulation, task: &Expectation) -> bool {
    if simulation.ledger.finished.contains(&task.id) {
        return true;
    }
    if task.cancelled {
        return !simulation.is_running(task.id) && !simulation.ledger.tasks.contains_key(&task.id);
    }
    match simulation.park_reason(task.id) {
        Some(action::ParkReason::OutcomeUnknown { .. }) => task.class == "certificate",
        Some(action::ParkReason::FailedRepeatedly { .. }) => task.class != "watch",
        Some(_) => false,
        None => task.class == "watch" && simulation.is_running(task.id),
    }
}

fn run(seed: u64, policy: config::Policy) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let workers = fleet(&mut rng);
    let mut simulation = Simulation::new(settings(seed, policy), workers, rng);
    simulation.faults = Faults {
        message_loss: 100,
        message_duplication: 100,
        delay_millis: 3_000,
        worker_restart: 1,
        partition: 1,
        leader_change: 2,
        proposal_loss: 50,
    };
    let mut expected = Vec::new();
    for _ in 0..1_500 {
        submit_some(&mut simulation, &mut expected);
        cancel_some(&mut simulation, &mut expected);
        simulation.step();
    }
    simulation.faults = Faults { delay_millis: 100, ..Faults::default() };
    for worker in &mut simulation.workers {
        worker.fails_everything = false;
        worker.partitioned_until_millis = 0;
    }
    cancel_excess_standing_tasks(&mut simulation, &mut expected);
    for _ in 0..90 {
        if expected.iter().all(|task| is_in_allowed_end_state(&simulation, task)) {
            return;
        }
        simulation.run_for(10_000);
    }
    for task in &expected {
        let records = simulation.scheduler.explain(task.id);
        let last: Vec<String> = records.iter().rev().take(3).map(ToString::to_string).collect();
        assert!(
            is_in_allowed_end_state(&simulation, task),
            "seed {seed}: {} of class {} (fails: {}) is left at {}, quarantined {:?}: {last:#?}",
            task.id,
            task.class,
            task.fails,
            simulation.now(),
            simulation.scheduler.get_quarantined(),
        );
    }
}

/// Cancels all but three of the tasks without an end, so that the others have room.
fn cancel_excess_standing_tasks(simulation: &mut Simulation, expected: &mut [Expectation]) {
    let watches = expected.iter_mut().filter(|task| task.class == "watch" && !task.cancelled);
    for task in watches.skip(3) {
        task.cancelled = true;
        simulation.cancel(task.id);
    }
}

#[test]
fn invariants_hold_and_tasks_end_under_faults() {
    fn property(seed: Seed) -> bool {
        run(seed.0, config::Policy::InterferenceAware);
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 6))
        .tests(40)
        .quickcheck(property as fn(Seed) -> bool);
}

#[test]
fn invariants_hold_with_each_baseline() {
    fn property(seed: Seed) -> bool {
        run(seed.0, config::Policy::FirstFit);
        run(seed.0, config::Policy::EvictImmediately);
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 7))
        .tests(12)
        .quickcheck(property as fn(Seed) -> bool);
}

#[test]
fn invariants_hold_with_seeds_that_failed_before() {
    for seed in [1_347, 474] {
        run(seed, config::Policy::InterferenceAware);
    }
}
