use crate::store::faulty_disk::{Fault, FaultyDisk};
use crate::store::model::{self, Model};
use comfreymill_group::store;
use std::sync::mpsc;

#[test]
fn queued_writes_share_syncs_and_are_read_back() {
    let disk = FaultyDisk::default();
    let (store, _) = store::Store::open(disk.clone(), model::options()).expect("opens");
    let (tx, rx) = mpsc::channel();
    let (release, wait) = mpsc::channel();
    let mut is_first = true;
    let thread = store::Thread::spawn(store, move |completion| {
        if std::mem::take(&mut is_first) {
            wait.recv().expect("released");
        }
        tx.send(completion).expect("the test listens");
    });
    let thread = thread.expect("a thread");
    let mut expected = Model::default();
    let writes = model::writes_without_snapshots(31, 60);
    let (count, syncs) = (writes.len() as u64, disk.syncs());
    let newest = writes[writes.len() - 1].sequence;
    for write in writes {
        expected.write(&write);
        thread.write(write);
    }
    release.send(()).expect("the thread waits");
    thread.close();
    let completions: Vec<_> = rx.try_iter().collect();
    let last = completions.last();
    assert!(
        matches!(last, Some(store::Completion::Synced(sequence)) if *sequence == newest),
        "{last:?}"
    );
    assert!(disk.syncs() - syncs < count / 2, "writes do not share syncs");
    let found = Model::of(model::open(&disk.files_after_power_loss()).expect("opens").1);
    assert_eq!(found, expected);
}

#[test]
fn nothing_is_acknowledged_after_a_failure() {
    let disk = FaultyDisk::default();
    let (store, _) = store::Store::open(disk.clone(), model::options()).expect("opens");
    disk.fail(Fault { after: disk.operations(), partial_bytes: 0, only_syncs: true });
    let (tx, rx) = mpsc::channel();
    let thread = store::Thread::spawn(store, move |completion| {
        tx.send(completion).expect("the test listens");
    });
    let thread = thread.expect("a thread");
    for write in model::writes(1, 10) {
        thread.write(write);
    }
    thread.close();
    let completions: Vec<_> = rx.try_iter().collect();
    assert_eq!(completions.len(), 1, "{completions:?}");
    assert!(matches!(completions[0], store::Completion::Failed(_)), "{completions:?}");
}
