use crate::store::forgetful_disk::{ForgetfulDisk, Loss};
use crate::store::model::{self, Model};
use crate::store::power_loss;
use comfreymill_group::{id, replica, store};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ATTEMPTS: u64 = 12;

/// Creates a replica and writes to it, and returns its disk id and state.
fn write_replica(disk: &ForgetfulDisk, seed: u64) -> (id::DiskId, Model) {
    let (mut store, recovered) = open(disk).expect("opens");
    let mut expected = Model::default();
    for write in model::writes(seed, 12) {
        expected.write(&write);
        store.write(vec![write]).expect("writes");
    }
    (recovered.disk, expected)
}

fn open(
    disk: &ForgetfulDisk,
) -> Result<(store::Store<ForgetfulDisk>, replica::Recovered), store::StoreError> {
    store::Store::open(disk.clone(), model::options())
}

/// Opens the store after further failures, and returns an error unless it has the whole state of
/// the retired replica or another replica without any.
fn check_reopened(
    disk: &ForgetfulDisk,
    retired: &(id::DiskId, Model),
    is_retired: bool,
    rng: &mut ChaCha8Rng,
) -> Result<(), String> {
    for _ in 0..rng.random_range(0..4) {
        disk.fail_after(rng.random_range(0..24));
        open(disk).ok();
        disk.crash(rng);
    }
    let (mut store, recovered) = open(disk).map_err(|error| error.to_string())?;
    let found = (recovered.disk, Model::of(recovered));
    let is_new = found.0 != retired.0 && found.1 == Model::default();
    if !(is_new || (found == *retired && !is_retired)) {
        return Err(format!("found {found:?}, retired {retired:?}"));
    }
    if is_new {
        store.write(vec![model::append(1)]).map_err(|error| error.to_string())?;
        disk.lose_power(Loss::AnyName, rng);
        let (_, recovered) = open(disk).map_err(|error| error.to_string())?;
        let is_kept = recovered.disk == found.0 && recovered.entries.len() == 1;
        return if is_kept {
            Ok(())
        } else {
            Err(format!("the new replica is lost: {recovered:?}"))
        };
    }
    Ok(())
}

/// Files of a removed replica were deleted one by one, and a power loss within that left a folder
/// that can't be opened, or a replica with a part of its log.
#[test]
fn an_interrupted_removal_leaves_the_whole_replica_or_none() {
    let (mut runs, mut faults) = (0, Vec::new());
    for seed in power_loss::seeds() {
        let disk = ForgetfulDisk::default();
        write_replica(&disk, seed);
        let before = disk.operations();
        store::Store::retire(disk.clone()).expect("retires");
        let operations = disk.operations() - before;
        for failed in 0..=operations {
            for attempt in 0..ATTEMPTS {
                let mut rng = ChaCha8Rng::seed_from_u64(seed << 32 | failed << 8 | attempt);
                let disk = ForgetfulDisk::default();
                let retired = write_replica(&disk, seed);
                disk.fail_after(failed);
                let is_retired = store::Store::retire(disk.clone()).is_ok();
                disk.crash(&mut rng);
                let checked = check_reopened(&disk, &retired, is_retired, &mut rng);
                let at = format!("seed {seed}, operation {failed}, attempt {attempt}");
                faults.extend(checked.err().map(|fault| format!("{at}: {fault}")));
                runs += 1;
            }
        }
    }
    eprintln!("{} faults in {runs} runs", faults.len());
    let first = faults.first();
    assert!(faults.is_empty(), "{} of {runs} runs, the first one: {first:?}", faults.len());
}
