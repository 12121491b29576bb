//! The files of a new store are created by its thread.

use crate::store::faulty_disk::{Fault, FaultyDisk};
use crate::store::forgetful_disk::ForgetfulDisk;
use crate::store::model::{self, Model};
use comfreymill_group::{id, message, replica, store};
use comfreymill_types::time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::io;
use std::sync::mpsc;

const ATTEMPTS: u64 = 64;

/// Disk whose first sync waits until the test allows it.
struct HeldDisk {
    inner: FaultyDisk,
    release: Option<mpsc::Receiver<()>>,
}

impl HeldDisk {
    fn wait(&mut self) {
        if let Some(release) = self.release.take() {
            release.recv().expect("released");
        }
    }
}

impl store::Disk for HeldDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        self.inner.list()
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        self.inner.read(name)
    }

    fn append(&mut self, name: &str, buf: &[u8]) -> io::Result<()> {
        self.inner.append(name, buf)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.wait();
        self.inner.sync(name)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.inner.rename(from, to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.inner.remove(name)
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.wait();
        self.inner.sync_folder()
    }
}

/// Returns the messages among `actions`, after passing the writes to `thread`.
fn perform(thread: &store::Thread, actions: Vec<replica::Action>) -> Vec<message::Body> {
    let mut sent = Vec::new();
    for action in actions {
        match action {
            replica::Action::Persist(write) => thread.write(write),
            replica::Action::Send { message, .. } => sent.extend(message.body),
            _ => {}
        }
    }
    sent
}

/// A lost disk was known only after all syncs of the creation, and its vote counted until then.
#[test]
fn a_replica_announces_itself_and_votes_for_nobody_before_its_files_are_created() {
    let (release, held) = mpsc::channel();
    let files = FaultyDisk::default();
    let disk = HeldDisk { inner: files.clone(), release: Some(held) };
    let (prepared, recovered) = store::Store::prepare(disk, model::options()).expect("prepares");
    let (tx, rx) = mpsc::channel();
    let thread = store::Thread::spawn(prepared, move |completion| {
        tx.send(completion).expect("the test listens");
    });
    let thread = thread.expect("a thread");
    let (own, candidate) = (recovered.disk, id::VoterId::new(1));
    let now = time::Monotonic::from_millis(1_000);
    let cfg = replica::Config::new(replica::Start::Join { peers: vec![candidate] });
    let mut newcomer = replica::Replica::new(cfg, recovered, 1, now);
    newcomer.tick(now);
    let sent = perform(&thread, newcomer.take_actions());
    assert!(matches!(sent[..], [message::Body::Hello(_)]), "{sent:?}");

    let vote = message::Vote { last_index: 5, last_term: 1, transfer: false };
    let body = Some(message::Body::Vote(vote));
    let request = message::Message { term: 2, disk: 10, to_disk: own.get(), body };
    let now = time::Monotonic::from_millis(2_000);
    newcomer.step(now, candidate, request);
    assert_eq!(perform(&thread, newcomer.take_actions()), [], "a vote before the files exist");
    assert!(rx.try_recv().is_err() && files.files_after_power_loss().is_empty());

    release.send(()).expect("the thread waits");
    let Ok(store::Completion::Synced(sequence)) = rx.recv() else { panic!("not synced") };
    newcomer.persisted(now, sequence);
    let sent = perform(&thread, newcomer.take_actions());
    let granted = message::Body::VoteResponse(message::VoteResponse { granted: true, reason: 0 });
    assert_eq!(sent, [granted]);
    let (_, recovered) = model::open(&files.files_after_power_loss()).expect("opens");
    assert_eq!((recovered.disk, recovered.hard_state.term), (own, id::Term::new(2)));
}

#[test]
fn nothing_is_written_before_the_creation() {
    let disk = FaultyDisk::default();
    let (prepared, recovered) =
        store::Store::prepare(disk.clone(), model::options()).expect("prepares");
    assert_eq!(disk.operations(), 0);
    assert_eq!(prepared.identity().disk, recovered.disk);
    let store = prepared.into_store().expect("creates");
    assert_eq!(store.identity().disk, recovered.disk);
    let (_, reopened) = model::open(&disk.files_after_power_loss()).expect("opens");
    assert_eq!(reopened.disk, recovered.disk);
}

/// Prepares a store on `disk`, creates it on a thread and writes to it. Returns the identity and the
/// completions.
fn create_and_write<D>(disk: D) -> Result<(id::DiskId, Vec<store::Completion>), store::StoreError>
where
    D: store::Disk + 'static,
{
    let (prepared, recovered) = store::Store::prepare(disk, model::options())?;
    let (tx, rx) = mpsc::channel();
    let thread = store::Thread::spawn(prepared, move |completion| {
        tx.send(completion).expect("the test listens");
    });
    let thread = thread.expect("a thread");
    thread.write(model::append(1));
    thread.close();
    Ok((recovered.disk, rx.try_iter().collect()))
}

#[test]
fn a_failed_creation_is_reported_as_on_opening() {
    let whole = FaultyDisk::default();
    store::Store::open(whole.clone(), model::options()).expect("opens");
    let mut texts = BTreeSet::new();
    for after in 0..whole.operations() {
        let failing = || {
            let disk = FaultyDisk::default();
            disk.fail(Fault { after, partial_bytes: 0, only_syncs: false });
            disk
        };
        let (_, completions) = create_and_write(failing()).expect("prepares");
        let [store::Completion::Failed(error)] = &completions[..] else {
            panic!("operation {after}: {completions:?}")
        };
        let expected = store::Store::open(failing(), model::options()).expect_err("fails");
        assert_eq!(error.to_string(), expected.to_string());
        texts.insert(error.to_string());
    }
    assert!(texts.len() > 4, "{texts:?}");
}

/// What was acknowledged is found under the identity that acknowledged it; a creation that began with
/// the leftovers of another one is no different.
#[test]
fn a_loss_of_power_within_the_creation_leaves_an_empty_folder_or_the_replica() {
    let whole = ForgetfulDisk::default();
    create_and_write(whole.clone()).expect("prepares");
    let operations = whole.operations();
    let mut written = Model::default();
    written.write(&model::append(1));
    let (mut acknowledged, mut lost) = (0, 0);
    for failed in 0..=operations {
        for attempt in 0..ATTEMPTS {
            let mut rng = ChaCha8Rng::seed_from_u64(failed << 32 | attempt);
            let disk = ForgetfulDisk::default();
            let mut identity = None;
            for limit in [failed, rng.random_range(0..=operations)] {
                disk.fail_after(limit);
                if let Ok((chosen, completions)) = create_and_write(disk.clone()) {
                    let is_synced = matches!(completions[..], [store::Completion::Synced(_)]);
                    identity = is_synced.then_some(chosen);
                }
                disk.crash(&mut rng);
                if identity.is_some() {
                    break;
                }
            }
            disk.restart();
            let opened = store::Store::open(disk, model::options());
            let (_, recovered) = opened.unwrap_or_else(|e| panic!("{failed}, {attempt}: {e}"));
            let (found_identity, found) = (recovered.disk, Model::of(recovered));
            match identity {
                Some(identity) => {
                    assert_eq!((found_identity, &found), (identity, &written), "{failed}");
                    acknowledged += 1;
                }
                None => {
                    assert!(found == Model::default() || found == written, "{failed}, {attempt}");
                    lost += 1;
                }
            }
        }
    }
    assert!(acknowledged > 0 && lost > 0, "{acknowledged} acknowledged, {lost} not");
}

/// A newcomer that was killed within its creation came back with another identity, while the vote of the one
/// that it had announced counted.
#[test]
fn a_kill_within_the_creation_keeps_the_announced_identity() {
    let disk = FaultyDisk::default();
    let (prepared, recovered) =
        store::Store::prepare(disk.clone(), model::options()).expect("prepares");
    disk.record_images();
    prepared.into_store().expect("creates");
    let images = disk.take_images();
    let announced = images.iter().skip_while(|image| image.process.is_empty());
    let mut kept = 0;
    for image in announced {
        let (_, again) = model::open(&image.process).expect("opens");
        assert_eq!(again.disk, recovered.disk, "{:?}", image.process.keys());
        kept += 1;
    }
    assert!(kept > 4 && kept + 2 >= images.len(), "{kept} of {}", images.len());
}
