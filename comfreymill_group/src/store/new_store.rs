use crate::entry;
use crate::replica;
use crate::store::files::{remove_temporaries, sync_folder};
use crate::store::replay::Replay;
use crate::store::{Corruption, Disk, Identity, Options, Store, StoreError, names};

/// Store that has an identity and no files yet.
///
/// Until [`NewStore::create`] has returned, a crash may make another identity, so nothing may be
/// acknowledged under this one. It is staged before all syncs, since the group may count its vote from
/// its announcement: a kill keeps it, and a loss of power once its first sync has returned.
#[derive(Debug)]
pub struct NewStore<D> {
    disk: D,
    options: Options,
    identity: Identity,
    /// Whether an interrupted creation has staged the identity.
    is_staged: bool,
    /// Files of a creation that was interrupted.
    leftovers: Vec<String>,
}

impl<D> NewStore<D>
where
    D: Disk,
{
    /// Chooses the identity for a folder with `files`, of which none may hold data of a replica.
    pub(super) fn prepare(
        mut disk: D,
        options: Options,
        files: Vec<String>,
    ) -> Result<Self, StoreError> {
        for file in files.iter().filter(|file| !file.ends_with(names::TEMPORARY_SUFFIX)) {
            if !Replay::is_empty_first_segment(&mut disk, file)? {
                return Err(StoreError::corrupt(names::IDENTITY, 0, Corruption::NoIdentity));
            }
        }
        let staged = Identity::staged(&mut disk, &options);
        let mut leftovers = files;
        if staged.is_some() {
            leftovers.retain(|file| *file != names::temporary(names::IDENTITY));
        }
        let identity = staged.unwrap_or_else(|| Identity::new(&options));
        Ok(Self { disk, options, identity, is_staged: staged.is_some(), leftovers })
    }

    /// Returns the identity of the replica.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Writes the initial files of the replica, after which it keeps its identity.
    ///
    /// The identity is written last, so a creation that is interrupted leaves at most an unused
    /// segment, which the next one removes.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be removed, written or synced.
    pub fn create(mut self) -> Result<Store<D>, StoreError> {
        if !self.is_staged {
            let staged = names::temporary(names::IDENTITY);
            if let Some(position) = self.leftovers.iter().position(|file| *file == staged) {
                // It is torn.
                let removed = self.disk.remove(&self.leftovers.swap_remove(position));
                removed.map_err(|error| StoreError::io(&staged, 0, "remove", error))?;
            }
            self.identity.stage(&mut self.disk)?;
        }
        Identity::sync_staged(&mut self.disk)?;
        if !self.leftovers.is_empty() {
            // As on opening a store: the names that a killed process left may not be synced.
            sync_folder(&mut self.disk)?;
            for file in remove_temporaries(&mut self.disk, self.leftovers)? {
                let removed = self.disk.remove(&file);
                removed.map_err(|error| StoreError::io(&file, 0, "remove", error))?;
            }
        }
        let hard_state = entry::HardState::default();
        let mut store =
            Store::create_from(self.disk, self.options, self.identity, hard_state, None)?;
        store.assign_folder(true)?;
        Ok(store)
    }

    /// Returns the state of a replica without files.
    pub(super) fn recovered(&self) -> replica::Recovered {
        let (voter, disk) = (self.identity.voter, self.identity.disk);
        replica::Recovered { voter, disk, ..replica::Recovered::default() }
    }
}
