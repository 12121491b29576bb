use crate::schedule::node::DurableState;
use crate::store::forgetful_disk::{ForgetfulDisk, Loss};
use crate::store::model::Model;
use comfreymill_group::{id, replica, store};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Log store of a replica on an in-memory disk.
#[derive(Debug)]
pub(crate) struct FileStore {
    disk: ForgetfulDisk,
    store: store::Store<ForgetfulDisk>,
}

impl Default for FileStore {
    fn default() -> Self {
        Self::open(ForgetfulDisk::default()).0
    }
}

impl FileStore {
    /// Writes and syncs `write`.
    pub(crate) fn write(&mut self, write: &replica::Persist) {
        self.store.write(vec![write.clone()]).expect("the disk accepts all writes");
    }

    /// Reopens the files after power losses, and checks that they hold `expected`.
    pub(crate) fn reopen(&mut self, expected: &DurableState) {
        // The schedule's own choices don't depend on the losses.
        let mut rng = ChaCha8Rng::seed_from_u64(expected.disk.get() << 32 | self.disk.operations());
        for _ in 0..rng.random_range(0..3) {
            self.disk.fail_after(rng.random_range(0..12));
            store::Store::open(self.disk.clone(), options()).ok();
            self.disk.crash(&mut rng);
        }
        self.disk.lose_power(Loss::ALL[rng.random_range(0..Loss::ALL.len())], &mut rng);
        let (reopened, found) = Self::open(self.disk.clone());
        *self = reopened;
        let DurableState { hard_state, snapshot, entries, .. } = expected.clone();
        assert_eq!(found, Model { hard_state, snapshot, entries }, "files hold another state");
    }

    fn open(disk: ForgetfulDisk) -> (Self, Model) {
        let opened = store::Store::open(disk.clone(), options());
        let (store, recovered) = opened.expect("opens");
        (Self { disk, store }, Model::of(recovered))
    }
}

fn options() -> store::Options {
    store::Options::new(id::GroupId::new(1), id::VoterId::new(1)).segment_bytes(1_000)
}
