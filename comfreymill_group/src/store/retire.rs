use crate::store::files::{list, sync_folder};
use crate::store::{Disk, Store, StoreError, names};

impl<D> Store<D>
where
    D: Disk,
{
    /// Removes the files of the replica, so that the next [`Store::open`] creates another one.
    ///
    /// A durable marker comes first. If this is interrupted, the next [`Store::open`] either finds
    /// the replica with all its files, or the marker, and then it finishes the removal.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be written, synced or removed.
    pub fn retire(mut disk: D) -> Result<(), StoreError> {
        let marker = names::RETIRED;
        disk.append(marker, &[]).map_err(|error| StoreError::io(marker, 0, "write", error))?;
        disk.sync(marker).map_err(|error| StoreError::io(marker, 0, "sync", error))?;
        sync_folder(&mut disk)?;
        let files = list(&mut disk)?;
        finish(&mut disk, &files)
    }
}

/// Removes the files of a retired replica among `files`, the marker last.
pub(super) fn finish<D>(disk: &mut D, files: &[String]) -> Result<(), StoreError>
where
    D: Disk,
{
    for file in files.iter().filter(|file| names::is_of_replica(file)) {
        disk.remove(file).map_err(|error| StoreError::io(file, 0, "remove", error))?;
    }
    sync_folder(disk)?;
    let marker = names::RETIRED;
    disk.remove(marker).map_err(|error| StoreError::io(marker, 0, "remove", error))?;
    sync_folder(disk)
}
