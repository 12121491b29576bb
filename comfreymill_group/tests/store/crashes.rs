use crate::store::faulty_disk::{FaultyDisk, Files};
use crate::store::model::{self, Model};
use comfreymill_group::store;
use quickcheck::{Gen, QuickCheck};

/// Crashes between any two operations on the disk; what is read back must be the state after some
/// write that was begun, and no earlier than the last one that was acknowledged.
fn survives_every_crash(seed: u64) -> bool {
    let disk = FaultyDisk::default();
    disk.keep_images();
    let (mut store, _) = store::Store::open(disk.clone(), model::options()).expect("opens");
    let mut states = vec![Model::default()];
    // Index of the first image at which each state is acknowledged.
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
        check(&image.process, allowed, "end of the process");
        check(&image.power, allowed, "loss of power");
        check(&image.torn, allowed, "loss of power in a write");
    }
    true
}

fn check(files: &Files, allowed: &[Model], crash: &str) {
    let disk = FaultyDisk::with_files(files);
    disk.keep_images();
    let opened = store::Store::open(disk.clone(), model::options());
    let (_, recovered) = opened.unwrap_or_else(|error| panic!("{crash}: {error}"));
    let found = Model::of(recovered);
    // A crash may come between the snapshot and the frame beside it.
    let is_allowed = allowed.contains(&found) || allowed.iter().any(|it| is_between(it, &found));
    assert!(is_allowed, "{crash}: {found:?} is none of {allowed:?}");
    for image in disk.take_images() {
        for files in [image.process, image.power, image.torn] {
            let (_, again) = model::open(&files).expect("opens after a crash while it opened");
            assert_eq!(Model::of(again), found, "{crash}: a second start reads another state");
        }
    }
}

/// Whether only the snapshot of the write to `after` reached the disk.
fn is_between(after: &Model, found: &Model) -> bool {
    found.snapshot == after.snapshot && found.entries == after.entries
}

#[test]
fn a_crash_between_any_two_operations_loses_nothing_acknowledged() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 11))
        .tests(60)
        .quickcheck(survives_every_crash as fn(u64) -> bool);
}
