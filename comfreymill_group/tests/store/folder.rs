use crate::store::model::{self, Model};
use comfreymill_group::store;
use std::{env, fs, path, process};

/// Folder of one test, removed on drop.
struct TestFolder(path::PathBuf);

impl TestFolder {
    fn new(name: &str) -> Self {
        let path = env::temp_dir().join(format!("comfreymill_group-{name}-{}", process::id()));
        fs::remove_dir_all(&path).ok();
        Self(path)
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.0).ok();
    }
}

#[test]
fn files_are_read_back() {
    let folder = TestFolder::new("read-back");
    let mut expected = Model::default();
    for write in model::writes(21, 40) {
        let disk = store::FolderDisk::open(&folder.0).expect("a folder");
        let (mut store, recovered) = store::Store::open(disk, model::options()).expect("opens");
        assert_eq!(Model::of(recovered), expected);
        expected.write(&write);
        store.write(vec![write]).expect("writes");
    }
}

/// A new scheduler never started in a data folder that was the root of a file system.
#[test]
fn foreign_entries_prevent_no_start_and_stay() {
    let folder = TestFolder::new("foreign");
    let entries = [folder.0.join("lost+found"), folder.0.join("backup.tmp")];
    fs::create_dir_all(&entries[0]).expect("a folder");
    fs::write(&entries[1], "kept").expect("a file");
    for _ in 0..2 {
        for _ in 0..2 {
            let disk = store::FolderDisk::open(&folder.0).expect("a folder");
            store::Store::open(disk, model::options()).expect("opens");
        }
        let disk = store::FolderDisk::open(&folder.0).expect("a folder");
        store::Store::retire(disk).expect("retires");
    }
    assert!(entries.iter().all(|entry| entry.exists()), "foreign entries were removed");
}

#[test]
fn a_folder_in_use_is_refused() {
    let folder = TestFolder::new("in-use");
    let first = store::FolderDisk::open(&folder.0).expect("a folder");
    let error = store::FolderDisk::open(&folder.0).expect_err("in use");
    assert_eq!(error.to_string(), "another process uses the folder");
    drop(first);
    assert!(store::FolderDisk::open(&folder.0).is_ok());
}

#[test]
fn missing_folders_above_the_data_folder_are_created() {
    let folder = TestFolder::new("levels");
    let path = folder.0.join("a").join("b");
    let disk = store::FolderDisk::open(&path).expect("a folder");
    store::Store::open(disk, model::options()).expect("opens");
    assert!(path.join("identity").is_file());
}

#[test]
fn snapshots_limit_the_size_of_the_files() {
    let folder = TestFolder::new("bound");
    let disk = store::FolderDisk::open(&folder.0).expect("a folder");
    let (mut store, _) = store::Store::open(disk, model::options()).expect("opens");
    let mut largest_bytes = 0;
    for round in 0..100 {
        for index in round * 10 + 1..=round * 10 + 10 {
            store.write(vec![model::append(index)]).expect("writes");
            largest_bytes = largest_bytes.max(store.size_bytes());
        }
        store.write(vec![model::snapshot(round * 10 + 10)]).expect("writes");
    }
    // Ten entries, one segment beyond its maximum length and a snapshot.
    assert!(largest_bytes < 2_000, "files of {largest_bytes} bytes");
}
