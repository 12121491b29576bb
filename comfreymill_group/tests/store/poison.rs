use crate::store::faulty_disk::{Fault, FaultyDisk};
use crate::store::model::{self, Model};
use comfreymill_group::store;

/// Injects a failure at each of many operations, and checks that nothing is acknowledged after it
/// and that all writes acknowledged before it are recovered.
fn check_poisoned_after_failure(only_syncs: bool, partial_bytes: usize) {
    let mut failures = 0;
    for after in 6..60 {
        let disk = FaultyDisk::default();
        let (mut store, _) = store::Store::open(disk.clone(), model::options()).expect("opens");
        disk.fail(Fault { after, partial_bytes, only_syncs });
        let mut states = vec![Model::default()];
        let mut acknowledged = 0;
        let mut failed = None;
        for write in model::writes(5, 14) {
            let mut next = states[states.len() - 1].clone();
            next.write(&write);
            states.push(next);
            match store.write(vec![write]) {
                Ok(()) => {
                    assert!(failed.is_none(), "acknowledged after a failure");
                    acknowledged += 1;
                }
                Err(error) => failed.get_or_insert(error).to_string().clear(),
            }
        }
        let Some(first) = failed else { continue };
        failures += 1;
        let text = first.to_string();
        assert!(text.contains(" at offset "), "{text}");
        assert!(matches!(first, store::StoreError::Io { .. }), "{text}");
        let poisoned = store.write(Vec::new()).expect_err("poisoned");
        assert!(matches!(poisoned, store::StoreError::Poisoned { .. }));
        assert!(poisoned.to_string().contains(&text), "{poisoned}");
        for files in [disk.files(), disk.files_after_power_loss()] {
            let found = Model::of(model::open(&files).expect("opens").1);
            let is_newer = states[acknowledged..].iter().any(|state| {
                state == &found
                    || (state.snapshot == found.snapshot && state.entries == found.entries)
            });
            assert!(is_newer, "failure after {after}: {found:?}");
        }
    }
    assert!(failures > 10, "only {failures} failures were injected");
}

#[test]
fn a_full_disk_stops_the_store() {
    check_poisoned_after_failure(false, 0);
}

#[test]
fn a_disk_that_fills_up_within_a_write_stops_the_store() {
    check_poisoned_after_failure(false, 13);
}

#[test]
fn a_failed_sync_stops_the_store() {
    check_poisoned_after_failure(true, 0);
}

#[test]
fn opening_rewrites_data_lost_by_a_failed_sync() {
    let disk = FaultyDisk::default();
    let (mut store, _) = store::Store::open(disk.clone(), model::options()).expect("opens");
    let writes = model::writes(2, 3);
    let fault = Fault { after: disk.operations(), partial_bytes: 0, only_syncs: true };
    disk.fail(fault);
    store.write(vec![writes[0].clone()]).expect_err("the sync fails");
    disk.fail(Fault { after: u64::MAX, ..fault });
    let (_, recovered) = store::Store::open(disk.clone(), model::options()).expect("opens");
    let recovered = Model::of(recovered);
    assert_ne!(recovered, Model::default(), "the page cache still has the write");
    let durable = Model::of(model::open(&disk.files_after_power_loss()).expect("opens").1);
    assert_eq!(durable, recovered, "recovered writes are lost in a power loss");
}
