use crate::store::faulty_disk::{FaultyDisk, Files};
use crate::store::forgetful_disk::{ForgetfulDisk, Loss};
use crate::store::model::{self, Model};
use bytes::Bytes;
use comfreymill_group::{id, replica, store};
use comfreymill_types::time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Returns the content of a snapshot file.
fn backup() -> Bytes {
    let disk = FaultyDisk::default();
    let (mut store, _) = store::Store::open(disk.clone(), model::options()).expect("opens");
    store.write(model::writes(1, 30)).expect("writes");
    let files = disk.files();
    let name = files.keys().find(|name| name.starts_with("snapshot-")).expect("a snapshot");
    Bytes::from(files[name].clone())
}

#[test]
fn a_restored_group_has_one_voter_and_the_state_of_the_backup() {
    let disk = FaultyDisk::default();
    let options = store::Options::new(id::GroupId::new(7), id::VoterId::new(12));
    let (_, restored) = store::Store::restore(disk.clone(), options, &backup()).expect("restores");
    let (_, opened) = store::Store::open(disk, options).expect("opens");
    assert_eq!(opened, restored);
    let snapshot = opened.snapshot.as_ref().expect("restored");
    assert!(snapshot.meta.membership.is_voter(id::VoterId::new(12), opened.disk));
    assert_eq!(snapshot.meta.membership.len(), 1);
    assert!(opened.hard_state.term.get() > snapshot.meta.term.get() + 1_000);
    let index = snapshot.meta.index;
    let cfg = replica::Config::new(replica::Start::Join { peers: Vec::new() });
    let mut replica = replica::Replica::new(cfg, opened, 1, time::Monotonic::ZERO);
    for millis in 0..1_000 {
        let now = time::Monotonic::from_millis(millis);
        replica.tick(now);
        for action in replica.take_actions() {
            if let replica::Action::Persist(write) = action {
                replica.persisted(now, write.sequence);
            }
        }
    }
    assert!(replica.is_ready(), "a restored replica becomes the leader on its own");
    assert_eq!(replica.delivered_index(), index.next());
}

#[test]
fn a_backup_is_not_restored_over_files() {
    let files = Files::from([("other".to_owned(), Vec::new())]);
    let disk = FaultyDisk::with_files(&files);
    let error = store::Store::restore(disk, model::options(), &backup()).expect_err("refused");
    assert!(matches!(error, store::StoreError::NotEmpty { .. }), "{error}");
}

#[test]
fn a_damaged_or_foreign_backup_is_refused() {
    let whole = backup();
    for offset in 0..whole.len() {
        let mut bytes = whole.to_vec();
        bytes[offset] ^= 4;
        let disk = FaultyDisk::default();
        let result = store::Store::restore(disk, model::options(), &Bytes::from(bytes));
        let error = result.expect_err("corrupt");
        assert!(error.to_string().starts_with("backup at offset "), "{error}");
    }
    let foreign = store::Options::new(id::GroupId::new(8), id::VoterId::new(3));
    let result = store::Store::restore(FaultyDisk::default(), foreign, &whole);
    assert!(matches!(result, Err(store::StoreError::Corrupt { .. })));
}

#[test]
fn an_interrupted_restore_leaves_all_or_nothing_of_the_backup() {
    let backup = backup();
    let whole = ForgetfulDisk::default();
    let restored = store::Store::restore(whole.clone(), model::options(), &backup);
    let expected = restored.expect("restores").1;
    let is_whole = |found: &replica::Recovered| {
        let content = |recovered: &replica::Recovered| {
            let snapshot = recovered.snapshot.clone();
            snapshot.map(|snapshot| (snapshot.meta.index, snapshot.meta.term, snapshot.data))
        };
        let members = found.snapshot.as_ref().map(|snapshot| &snapshot.meta.membership);
        content(found) == content(&expected)
            && members.is_some_and(|members| members.is_voter(found.voter, found.disk))
            && found.hard_state == expected.hard_state
            && found.entries.is_empty()
    };
    let (mut complete, mut refused, mut empty) = (0, 0, 0);
    for failed in 0..=whole.operations() {
        for attempt in 0..100 {
            let mut rng = ChaCha8Rng::seed_from_u64(failed << 8 | attempt);
            let disk = ForgetfulDisk::default();
            disk.fail_after(failed);
            let is_restored =
                store::Store::restore(disk.clone(), model::options(), &backup).is_ok();
            disk.lose_power(Loss::ALL[rng.random_range(0..Loss::ALL.len())], &mut rng);
            match store::Store::open(disk, model::options()).map(|(_, found)| found) {
                Ok(found) if is_whole(&found) => complete += 1,
                Ok(found) if Model::of(found.clone()) == Model::default() && !is_restored => {
                    empty += 1;
                }
                Ok(found) => panic!("operation {failed}, attempt {attempt}: {found:?}"),
                Err(error) => {
                    let is_without_identity = error.to_string().starts_with("identity at offset 0");
                    assert!(is_without_identity && !is_restored, "operation {failed}: {error}");
                    refused += 1;
                }
            }
        }
    }
    assert!(complete > 0 && refused > 0 && empty > 0, "{complete}, {refused}, {empty}");
}
