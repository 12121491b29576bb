use crate::schedule::node::DurableState;
use crate::store::faulty_disk::FaultyDisk;
use crate::store::model::Model;
use comfreymill_group::{id, replica, store};

/// Log store of a replica on an in-memory disk.
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
    /// Writes and syncs `write`.
    pub(crate) fn write(&mut self, write: &replica::Persist) {
        self.store.write(vec![write.clone()]).expect("the disk accepts all writes");
    }

    /// Reopens the files after a power loss, and checks that they hold `expected`.
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
