use crate::id;
use crate::store::record::IdentityRecord;
use crate::store::{Corruption, Disk, Options, StoreError, frame, names};
use prost::Message as _;
use std::collections::hash_map;
use std::hash::{BuildHasher, Hasher};

/// Identity of a replica: the configured ids and the random id of its data folder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Id of the group.
    pub group: id::GroupId,
    /// Id of the replica.
    pub voter: id::VoterId,
    /// Id of the data folder.
    pub disk: id::DiskId,
}

impl Identity {
    /// Returns the identity as a record to encode.
    pub(super) fn to_record(self) -> IdentityRecord {
        let (group, voter, disk) = (self.group.get(), self.voter.get(), self.disk.get());
        IdentityRecord { group, voter, disk }
    }

    /// Reads the identity and checks that it matches `options`.
    pub(super) fn open<D>(disk: &mut D, options: &Options) -> Result<Self, StoreError>
    where
        D: Disk,
    {
        let found = Self::read(disk, names::IDENTITY)?;
        if !found.is_allowed(options) {
            return Err(StoreError::OtherReplica {
                group: options.get_group(),
                voter: options.get_voter(),
                found_group: found.group,
                found_voter: found.voter,
            });
        }
        Ok(found)
    }

    /// Returns the identity that an interrupted creation has staged, if it is whole and matches `options`.
    pub(super) fn staged<D>(disk: &mut D, options: &Options) -> Option<Self>
    where
        D: Disk,
    {
        let staged = Self::read(disk, &names::temporary(names::IDENTITY)).ok();
        staged.filter(|staged| staged.is_allowed(options))
    }

    fn is_allowed(&self, options: &Options) -> bool {
        let is_voter = self.voter == options.get_voter() || options.get_accepts_stored_voter();
        self.group == options.get_group() && is_voter
    }

    fn read<D>(disk: &mut D, file: &str) -> Result<Self, StoreError>
    where
        D: Disk,
    {
        let buf = disk.read(file).map_err(|error| StoreError::io(file, 0, "read", error))?;
        let corrupt = |offset, corruption| StoreError::corrupt(file, offset, corruption);
        let found = match frame::parse(&buf, 0) {
            frame::Parsed::Frame(found) => found,
            frame::Parsed::End => return Err(corrupt(0, Corruption::Truncated)),
            frame::Parsed::Torn | frame::Parsed::Corrupt(_) => {
                return Err(corrupt(0, Corruption::Checksum));
            }
        };
        if found.payload.end != buf.len() {
            return Err(corrupt(found.payload.end as u64, Corruption::Trailing));
        }
        let record = IdentityRecord::decode(&buf[found.payload])
            .map_err(|error| corrupt(0, error.into()))?;
        Ok(Self {
            group: id::GroupId::new(record.group),
            voter: id::VoterId::new(record.voter),
            disk: id::DiskId::new(record.disk),
        })
    }

    /// Creates an identity with a random disk id.
    pub(super) fn new(options: &Options) -> Self {
        Self { group: options.get_group(), voter: options.get_voter(), disk: random_disk_id() }
    }

    /// Writes the identity under a temporary name.
    pub(super) fn stage<D>(self, disk: &mut D) -> Result<(), StoreError>
    where
        D: Disk,
    {
        let file = names::temporary(names::IDENTITY);
        let buf = frame::encode(0, &self.to_record().encode_to_vec());
        disk.append(&file, &buf).map_err(|error| StoreError::io(&file, 0, "write", error))
    }

    /// Syncs the staged identity and gives it its name, which assigns the folder to this replica.
    pub(super) fn commit<D>(disk: &mut D) -> Result<(), StoreError>
    where
        D: Disk,
    {
        let (name, staged) = (names::IDENTITY, names::temporary(names::IDENTITY));
        disk.sync(&staged).map_err(|error| StoreError::io(&staged, 0, "sync", error))?;
        disk.rename(&staged, name).map_err(|error| StoreError::io(name, 0, "rename", error))?;
        disk.sync_folder().map_err(|error| StoreError::io(name, 0, "sync of the folder", error))
    }

    /// Syncs the staged identity, so that it survives a loss of power.
    pub(super) fn sync_staged<D>(disk: &mut D) -> Result<(), StoreError>
    where
        D: Disk,
    {
        let staged = names::temporary(names::IDENTITY);
        disk.sync(&staged).map_err(|error| StoreError::io(&staged, 0, "sync", error))
    }
}

/// Writes a file under a temporary name and renames it once it is complete and synced.
pub(super) fn write_atomically<D>(
    disk: &mut D,
    name: &str,
    parts: &[&[u8]],
) -> Result<(), StoreError>
where
    D: Disk,
{
    let temporary = names::temporary(name);
    let mut offset = 0;
    for part in parts {
        disk.append(&temporary, part)
            .map_err(|error| StoreError::io(&temporary, offset, "write", error))?;
        offset += part.len() as u64;
    }
    disk.sync(&temporary).map_err(|error| StoreError::io(&temporary, offset, "sync", error))?;
    disk.rename(&temporary, name).map_err(|error| StoreError::io(name, 0, "rename", error))?;
    disk.sync_folder().map_err(|error| StoreError::io(name, 0, "sync of the folder", error))
}

/// Returns a random id other than zero. The randomness comes from the hasher's keys, which the
/// standard library seeds from the operating system.
fn random_disk_id() -> id::DiskId {
    loop {
        let number = hash_map::RandomState::new().build_hasher().finish();
        if number != 0 {
            return id::DiskId::new(number);
        }
    }
}
