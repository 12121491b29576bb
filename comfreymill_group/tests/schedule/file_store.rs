use crate::schedule::node::DurableState;
use crate::store::faulty_disk::FaultyDisk;
use crate::store::model::Model;
use comfreymill_group::{id, replica, store};

/// Store of a replica, on a disk in memory.
#[derive(Debug)]
pub(crate) struct FileStore {
    disk: FaultyDisk,
    store: store::Store<FaultyDisk>,
}

impl Default for FileStore {
    fn default() -> Self {
        Self::open(FaultyDisk::default()).0
    }
}

impl FileStore {
    /// Carries out a write.
    pub(crate) fn write(&mut self, write: &replica::Persist) {
        self.store.write(vec![write.clone()]).expect("the disk takes all writes");
    }

    /// Opens the files again after a loss of power; they have to hold `expected`.
    pub(crate) fn reopen(&mut self, expected: &DurableState) {
        let kept = FaultyDisk::with_files(&self.disk.files_after_power_loss());
        let (reopened, found) = Self::open(kept);
        *self = reopened;
        let DurableState { hard_state, snapshot, entries, .. } = expected.clone();
        assert_eq!(found, Model { hard_state, snapshot, entries }, "files hold another state");
    }

    fn open(disk: FaultyDisk) -> (Self, Model) {
        let options = store::Options::new(id::GroupId::new(1), id::VoterId::new(1));
        let options = options.segment_bytes(1_000);
        let (store, recovered) = store::Store::open(disk.clone(), options).expect("opens");
        (Self { disk, store }, Model::of(recovered))
    }
}
