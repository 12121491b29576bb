use crate::store::faulty_disk::FaultyDisk;
use crate::store::model;
use comfreymill_group::{id, store};

#[test]
fn a_folder_keeps_its_disk_id() {
    let disk = FaultyDisk::default();
    let (store, first) = store::Store::open(disk.clone(), model::options()).expect("opens");
    assert_ne!(first.disk, id::DiskId::ZERO);
    assert_eq!(store.identity().disk, first.disk);
    let (_, second) = store::Store::open(disk, model::options()).expect("opens");
    assert_eq!(second.disk, first.disk);
}

#[test]
fn an_empty_folder_gets_another_disk_id() {
    let disk_id = || {
        let opened = store::Store::open(FaultyDisk::default(), model::options());
        opened.expect("opens").1.disk
    };
    assert_ne!(disk_id(), disk_id());
}

#[test]
fn a_folder_of_another_replica_is_refused() {
    let disk = FaultyDisk::default();
    store::Store::open(disk.clone(), model::options()).expect("opens");
    let others = [
        store::Options::new(id::GroupId::new(7), id::VoterId::new(4)),
        store::Options::new(id::GroupId::new(8), id::VoterId::new(3)),
    ];
    for options in others {
        let error = store::Store::open(disk.clone(), options).expect_err("refused");
        assert!(matches!(error, store::StoreError::OtherReplica { .. }), "{error}");
    }
}

#[test]
fn a_log_without_its_identity_is_refused() {
    let disk = FaultyDisk::default();
    let (mut store, _) = store::Store::open(disk.clone(), model::options()).expect("opens");
    store.write(model::writes(3, 4)).expect("writes");
    let mut files = disk.files();
    files.remove("identity");
    let error = model::open(&files).expect_err("refused");
    assert!(error.to_string().starts_with("identity at offset 0: "), "{error}");
}

#[test]
fn an_identity_without_its_log_is_refused() {
    let disk = FaultyDisk::default();
    store::Store::open(disk.clone(), model::options()).expect("opens");
    let mut files = disk.files();
    files.retain(|name, _| name == "identity");
    let error = model::open(&files).expect_err("refused");
    assert!(error.to_string().contains("all segments of the log are missing"), "{error}");
}
