//! Reading and writing of snapshot files.

use crate::id;
use crate::snapshot;
use crate::store::identity::write_atomically;
use crate::store::record::{PositionRecord, SnapshotRecord};
use crate::store::{Corruption, Disk, StoreError, frame, names};
use bytes::Bytes;
use prost::Message as _;

/// Reads the newest snapshot among `files`, and returns it with the length of its file.
pub(super) fn read_newest<D>(
    disk: &mut D,
    files: &[String],
    group: id::GroupId,
) -> Result<Option<(snapshot::Snapshot, u64)>, StoreError>
where
    D: Disk,
{
    let Some(index) = files.iter().filter_map(|file| names::snapshot_index(file)).max() else {
        return Ok(None);
    };
    let file = names::snapshot(index);
    let buf = disk.read(&file).map_err(|error| StoreError::io(&file, 0, "read", error))?;
    let len = buf.len() as u64;
    let snapshot = decode(&Bytes::from(buf), group)
        .map_err(|(offset, corruption)| StoreError::corrupt(&file, offset as u64, corruption))?;
    if snapshot.meta.index != index {
        let corruption =
            Corruption::Sequence { expected: index.get(), found: snapshot.meta.index.get() };
        return Err(StoreError::corrupt(&file, 0, corruption));
    }
    Ok(Some((snapshot, len)))
}

/// Writes `snapshot` to a new file, and returns the length of the file.
pub(super) fn write<D>(
    disk: &mut D,
    snapshot: &snapshot::Snapshot,
    group: id::GroupId,
) -> Result<u64, StoreError>
where
    D: Disk,
{
    let meta = &snapshot.meta;
    let record = SnapshotRecord {
        group: group.get(),
        last: Some(PositionRecord { index: meta.index.get(), term: meta.term.get() }),
        membership: Some((&meta.membership).into()),
        data_bytes: snapshot.data.len() as u64,
        data_checksum: snapshot.checksum(),
    };
    let head = frame::encode(meta.index.get(), &record.encode_to_vec());
    write_atomically(disk, &names::snapshot(meta.index), &[&head, &snapshot.data])?;
    Ok((head.len() + snapshot.data.len()) as u64)
}

/// Decodes a snapshot file.
///
/// # Errors
///
/// Returns the offset and kind of the corruption.
pub(super) fn decode(
    buf: &Bytes,
    group: id::GroupId,
) -> Result<snapshot::Snapshot, (usize, Corruption)> {
    let frame::Parsed::Frame(head) = frame::parse(buf, 0) else {
        return Err((0, Corruption::Checksum));
    };
    let start = head.payload.end;
    let record = SnapshotRecord::decode(&buf[head.payload])
        .map_err(|error| (0, Corruption::Decode(error)))?;
    if record.group != group.get() {
        return Err((0, Corruption::OtherReplica));
    }
    let data = buf.slice(start..);
    if (data.len() as u64) < record.data_bytes {
        return Err((buf.len(), Corruption::Truncated));
    }
    if data.len() as u64 > record.data_bytes {
        return Err((start, Corruption::Trailing));
    }
    if crc32fast::hash(&data) != record.data_checksum {
        return Err((start, Corruption::Checksum));
    }
    let last = record.last.unwrap_or_default();
    let meta = snapshot::SnapshotMeta {
        index: id::Index::new(last.index),
        term: id::Term::new(last.term),
        membership: (&record.membership.unwrap_or_default()).into(),
    };
    Ok(snapshot::Snapshot { meta, data })
}
