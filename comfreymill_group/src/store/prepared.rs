use crate::store::{Disk, Identity, NewStore, Store, StoreError};

/// Store of a data folder, with its files or before their creation.
#[derive(Debug)]
pub enum Prepared<D> {
    /// The folder has the files of a replica.
    Opened(Store<D>),
    /// The folder has none.
    New(NewStore<D>),
}

impl<D> Prepared<D>
where
    D: Disk,
{
    /// Returns the identity of the replica.
    pub fn identity(&self) -> Identity {
        match self {
            Self::Opened(store) => store.identity(),
            Self::New(new) => new.identity(),
        }
    }

    /// Returns the store, whose files are created if there are none.
    ///
    /// # Errors
    ///
    /// Returns an error if the files can't be created.
    pub fn into_store(self) -> Result<Store<D>, StoreError> {
        match self {
            Self::Opened(store) => Ok(store),
            Self::New(new) => new.create(),
        }
    }
}

impl<D> From<Store<D>> for Prepared<D> {
    fn from(store: Store<D>) -> Self {
        Self::Opened(store)
    }
}
