use quickcheck::{Arbitrary, Gen, QuickCheck};

use super::simulation::Simulation;
use crate::support;

const FAULTY_MILLIS: u64 = 6_000;
const RECOVERED_MILLIS: u64 = 10_000;
const END_MILLIS: u64 = 11_000;

/// Seed of a run; not shrunk, because a smaller seed gives no simpler run.
#[derive(Clone, Copy, Debug)]
struct Seed(u64);

impl Arbitrary for Seed {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(u64::arbitrary(g))
    }
}

/// Runs with faults, then without, and checks that every request was answered exactly once.
fn answers_each_request_once(seed: Seed) -> bool {
    let mut simulation = Simulation::new(seed.0, 3, 4);
    simulation.run_until(support::ms(FAULTY_MILLIS));
    simulation.stop_faults();
    simulation.run_until(support::ms(RECOVERED_MILLIS));
    let before = simulation.answered;
    simulation.run_until(support::ms(END_MILLIS));
    check_answers(&simulation);
    assert!(simulation.started > 500, "only {} requests were started", simulation.started);
    let recovered = simulation.answered - before;
    assert!(recovered > 500, "only {recovered} requests were answered after the faults ended");
    true
}

fn check_answers(simulation: &Simulation) {
    for entry in &simulation.entries {
        for (request, answers) in &entry.answers {
            assert_eq!(*answers, 1, "{request} was answered {answers} times");
            assert!(!entry.abandoned.contains(request), "{request} was answered and abandoned");
        }
        let late = entry.open.iter().filter(|(_, (deadline, _))| *deadline < support::ms(10_950));
        assert_eq!(late.count(), 0, "requests of {} were never answered", entry.name);
    }
}

#[test]
fn slots_answers_and_starts_are_correct_under_faults() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(1_000, 5))
        .tests(60)
        .quickcheck(answers_each_request_once as fn(Seed) -> bool);
}
