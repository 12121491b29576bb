use crate::id;
use crate::store::record::IdentityRecord;
use crate::store::{Damage, Disk, Options, StoreError, frame, names};
use prost::Message as _;
use std::collections::hash_map;
use std::hash::{BuildHasher, Hasher};

/// Identity of a replica: the ids of the settings and the random id of its folder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Group.
    pub group: id::GroupId,
    /// Replica.
    pub voter: id::VoterId,
    /// Folder.
    pub disk: id::DiskId,
}

impl Identity {
    /// Encoded identity.
    pub(super) fn to_record(self) -> IdentityRecord {
        let (group, voter, disk) = (self.group.get(), self.voter.get(), self.disk.get());
        IdentityRecord { group, voter, disk }
    }

    /// Reads the identity, which has to be that of `options`.
    pub(super) fn open<D>(disk: &mut D, options: &Options) -> Result<Self, StoreError>
    where
        D: Disk,
    {
        let found = Self::read(disk)?;
        let is_other_voter = found.voter != options.get_voter() && !options.get_keeps_voter();
        if found.group != options.get_group() || is_other_voter {
            return Err(StoreError::OtherReplica {
                group: options.get_group(),
                voter: options.get_voter(),
                found_group: found.group,
                found_voter: found.voter,
            });
        }
        Ok(found)
    }

    fn read<D>(disk: &mut D) -> Result<Self, StoreError>
    where
        D: Disk,
    {
        let file = names::IDENTITY;
        let buf = disk.read(file).map_err(|error| StoreError::io(file, 0, "read", error))?;
        let damaged = |offset, damage| StoreError::damaged(file, offset, damage);
        let found = match frame::find(&buf, 0) {
            frame::Found::Frame(found) => found,
            frame::Found::End => return Err(damaged(0, Damage::Short)),
            frame::Found::Torn | frame::Found::Damaged(_) => {
                return Err(damaged(0, Damage::Checksum));
            }
        };
        if found.payload.end != buf.len() {
            return Err(damaged(found.payload.end as u64, Damage::Trailing));
        }
        let record = IdentityRecord::decode(&buf[found.payload])
            .map_err(|error| damaged(0, error.into()))?;
        Ok(Self {
            group: id::GroupId::new(record.group),
            voter: id::VoterId::new(record.voter),
            disk: id::DiskId::new(record.disk),
        })
    }

    /// New identity for a folder without one.
    pub(super) fn new(options: &Options) -> Self {
        Self { group: options.get_group(), voter: options.get_voter(), disk: random_disk_id() }
    }

    /// Writes the identity, which makes the folder this replica's.
    pub(super) fn write<D>(self, disk: &mut D) -> Result<(), StoreError>
    where
        D: Disk,
    {
        let payload = self.to_record().encode_to_vec();
        write_whole(disk, names::IDENTITY, &[&frame::encode(0, &payload)])
    }
}

/// Writes a file so that it appears under its name only when it is whole and synced.
pub(super) fn write_whole<D>(disk: &mut D, name: &str, parts: &[&[u8]]) -> Result<(), StoreError>
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

/// Random number above zero; each hasher state is seeded by the operating system.
fn random_disk_id() -> id::DiskId {
    loop {
        let number = hash_map::RandomState::new().build_hasher().finish();
        if number != 0 {
            return id::DiskId::new(number);
        }
    }
}
