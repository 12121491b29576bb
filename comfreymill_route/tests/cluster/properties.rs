use quickcheck::{Arbitrary, Gen, QuickCheck};

use super::world::World;
use crate::support;

const FAULTY_MILLIS: u64 = 6_000;
const CALM_MILLIS: u64 = 10_000;
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
fn holds(seed: Seed) -> bool {
    let mut world = World::new(seed.0, 3, 4);
    world.run_until(support::ms(FAULTY_MILLIS));
    world.heal();
    world.run_until(support::ms(CALM_MILLIS));
    let before = world.answered;
    world.run_until(support::ms(END_MILLIS));
    check_answers(&world);
    assert!(world.started > 500, "only {} requests were started", world.started);
    let calm = world.answered - before;
    assert!(calm > 500, "only {calm} requests were answered after the faults ended");
    true
}

fn check_answers(world: &World) {
    for entry in &world.entries {
        for (request, answers) in &entry.answers {
            assert_eq!(*answers, 1, "{request} was answered {answers} times");
            assert!(!entry.abandoned.contains(request), "{request} was answered and abandoned");
        }
        let late = entry.open.iter().filter(|(_, (deadline, _))| *deadline < support::ms(10_950));
        assert_eq!(late.count(), 0, "requests of {} were never answered", entry.name);
    }
}

#[test]
fn slots_answers_and_runs_hold_under_faults() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(1_000, 5))
        .tests(60)
        .quickcheck(holds as fn(Seed) -> bool);
}
