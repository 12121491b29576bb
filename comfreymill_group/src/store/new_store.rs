use crate::entry;
use crate::replica;
use crate::store::files::{remove_temporaries, sync_folder};
use crate::store::replay::Replay;
use crate::store::{Corruption, Disk, Identity, Options, Store, StoreError, names};

/// Store that has an identity and no files yet.
///
/// Until [`NewStore::create`] has returned, a crash makes another identity, so nothing may be
/// acknowledged under this one.
#[derive(Debug)]
pub struct NewStore<D> {
    disk: D,
    options: Options,
    identity: Identity,
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
        let identity = Identity::new(&options);
        Ok(Self { disk, options, identity, leftovers: files })
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
        if !self.leftovers.is_empty() {
            // As on opening a store: the names that a killed process left may not be synced.
            sync_folder(&mut self.disk)?;
            for file in remove_temporaries(&mut self.disk, self.leftovers)? {
                let removed = self.disk.remove(&file);
                removed.map_err(|error| StoreError::io(&file, 0, "remove", error))?;
            }
        }
        let hard_state = entry::HardState::default();
        Store::create_from(self.disk, self.options, self.identity, hard_state, None)
    }

    /// Returns the state of a replica without files.
    pub(super) fn recovered(&self) -> replica::Recovered {
        let (voter, disk) = (self.identity.voter, self.identity.disk);
        replica::Recovered { voter, disk, ..replica::Recovered::default() }
    }
}
