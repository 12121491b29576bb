use crate::entry;
use crate::id;
use crate::membership;
use crate::replica;
use crate::store::{Disk, Identity, Options, Store, StoreError, snapshot_file};
use bytes::Bytes;

/// Added to the term of the backup, so that messages of the former group have outdated terms.
const RESTORED_TERM_STEP: u64 = 1_000_000;

impl<D> Store<D>
where
    D: Disk,
{
    /// Starts a new group from `backup`, a copy of a snapshot file, with this replica as its only
    /// voter. No replica of the former group may run again.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder is not empty, if the backup is corrupt or of another group,
    /// or if a write fails.
    pub fn restore(
        mut disk: D,
        options: Options,
        backup: &Bytes,
    ) -> Result<(Self, replica::Recovered), StoreError> {
        let files = disk.list().map_err(|error| StoreError::io(".", 0, "list", error))?;
        if !files.is_empty() {
            return Err(StoreError::NotEmpty { file: files[0].clone() });
        }
        let mut snapshot = snapshot_file::decode(backup, options.get_group()).map_err(
            |(offset, corruption)| StoreError::corrupt("backup", offset as u64, corruption),
        )?;
        let identity = Identity::new(&options);
        let kind = membership::MemberKind::Voter;
        let member = membership::Member { disk: identity.disk, kind };
        snapshot.meta.membership = [(identity.voter, member)].into_iter().collect();
        let term = id::Term::new(snapshot.meta.term.get() + RESTORED_TERM_STEP);
        let hard_state = entry::HardState { term, vote: None };
        let mut store = Self::create_from(disk, options, identity, hard_state, Some(&snapshot))?;
        store.assign_folder(false)?;
        let recovered = replica::Recovered {
            voter: identity.voter,
            disk: identity.disk,
            hard_state,
            snapshot: Some(snapshot),
            entries: Vec::new(),
        };
        Ok((store, recovered))
    }
}
