use crate::store::faulty_disk::{FaultyDisk, Files};
use crate::store::model::{self, Model};
use comfreymill_group::store;
use quickcheck::{Gen, QuickCheck};

/// Simulates a crash between any two disk operations. The recovered state must be the state after
/// a started write, and no earlier than the state after the last acknowledged one.
fn survives_every_crash(seed: u64) -> bool {
    let disk = FaultyDisk::default();
    disk.record_images();
    let (mut store, _) = store::Store::open(disk.clone(), model::options()).expect("opens");
    let mut states = vec![Model::default()];
    // Index of the first image taken after each state was acknowledged.
    let mut acknowledged_from = vec![0];
    for write in model::writes(seed, 12) {
        let mut next = states[states.len() - 1].clone();
        next.write(&write);
        store.write(vec![write]).expect("writes");
        states.push(next);
        acknowledged_from.push(usize::try_from(disk.operations()).expect("fits"));
    }
    for (position, image) in disk.take_images().iter().enumerate() {
        let acknowledged = acknowledged_from.iter().filter(|from| **from <= position).count() - 1;
        let allowed = &states[acknowledged..states.len().min(acknowledged + 2)];
        check(&image.process, allowed, "process crash");
        check(&image.power, allowed, "power loss");
        check(&image.torn, allowed, "power loss during a write");
    }
    true
}

fn check(files: &Files, allowed: &[Model], crash: &str) {
    let disk = FaultyDisk::with_files(files);
    disk.record_images();
    let opened = store::Store::open(disk.clone(), model::options());
    let (_, recovered) = opened.unwrap_or_else(|error| panic!("{crash}: {error}"));
    let found = Model::of(recovered);
    // A crash can happen after the snapshot of a write and before its frame.
    let is_allowed =
        allowed.contains(&found) || allowed.iter().any(|state| has_only_snapshot(state, &found));
    assert!(is_allowed, "{crash}: recovered {found:?}, expected one of {allowed:?}");
    for image in disk.take_images() {
        for files in [image.process, image.power, image.torn] {
            let (_, again) = model::open(&files).expect("opens after a crash during opening");
            assert_eq!(Model::of(again), found, "{crash}: opening again recovered another state");
        }
    }
}

/// Returns whether `found` has the snapshot of the write that leads to `after`, but not yet its
/// term and vote.
fn has_only_snapshot(after: &Model, found: &Model) -> bool {
    found.snapshot == after.snapshot && found.entries == after.entries
}

#[test]
fn a_crash_between_any_two_operations_loses_nothing_acknowledged() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 11))
        .tests(60)
        .quickcheck(survives_every_crash as fn(u64) -> bool);
}
