use crate::entry;
use crate::id;
use crate::replica;
use crate::snapshot;
use crate::store::identity::write_atomically;
use crate::store::record::{PositionRecord, SegmentRecord, WriteRecord};
use crate::store::replay::Replay;
use crate::store::segment::Segment;
use crate::store::{
    Corruption, Disk, Identity, NewStore, Options, Prepared, StoreError, frame, names, retire,
    snapshot_file,
};
use prost::Message as _;
use std::collections::VecDeque;
use std::mem;

/// Log and snapshot files of one replica.
#[derive(Debug)]
pub struct Store<D> {
    disk: D,
    options: Options,
    identity: Identity,
    hard_state: entry::HardState,
    /// Position of the last entry in the log.
    last: PositionRecord,
    /// Sequence number of the last frame.
    sequence: u64,
    /// Segments, oldest first; writes go to the last one.
    segments: VecDeque<Segment>,
    /// Index of the newest snapshot.
    snapshot: Option<id::Index>,
    /// Length of the newest snapshot file.
    snapshot_bytes: u64,
    /// Text of the first error; all later writes fail.
    poisoned: Option<String>,
}

impl<D> Store<D>
where
    D: Disk,
{
    /// Opens the store on `disk`, or creates one if the folder has no files of a replica. Ignores
    /// other files and folders.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be read or written, is corrupt or belongs to another
    /// replica.
    pub fn open(disk: D, options: Options) -> Result<(Self, replica::Recovered), StoreError> {
        let (prepared, recovered) = Self::prepare(disk, options)?;
        Ok((prepared.into_store()?, recovered))
    }

    /// Opens the store on `disk`, or chooses the identity of a new one, which writes nothing. Ignores
    /// other files and folders.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be read or written, is corrupt or belongs to another
    /// replica.
    pub fn prepare(
        mut disk: D,
        options: Options,
    ) -> Result<(Prepared<D>, replica::Recovered), StoreError> {
        let mut files = list(&mut disk)?;
        let is_retired = files.iter().any(|file| file == names::RETIRED);
        if is_retired || files.iter().any(|file| file == names::IDENTITY) {
            // A process that was killed may have left names that are not synced. Without this sync,
            // a power loss could keep what is written below and drop what it refers to.
            sync_folder(&mut disk)?;
        }
        if is_retired {
            retire::finish(&mut disk, &files)?;
            files = list(&mut disk)?;
        }
        files.retain(|file| names::is_of_replica(file));
        if !files.iter().any(|file| file == names::IDENTITY) {
            let new = NewStore::prepare(disk, options, files)?;
            let recovered = new.recovered();
            return Ok((Prepared::New(new), recovered));
        }
        let files = remove_temporaries(&mut disk, files)?;
        let identity = Identity::open(&mut disk, &options)?;
        let newest = snapshot_file::read_newest(&mut disk, &files, identity.group)?;
        let (newest, snapshot_bytes) =
            newest.map_or((None, 0), |(snapshot, len)| (Some(snapshot), len));
        let mut replay = Replay::read(&mut disk, &files, &identity)?;
        if replay.segments.is_empty() {
            return Err(StoreError::corrupt(&names::segment(1), 0, Corruption::NoSegments));
        }
        let has_conflict = replay.apply_snapshot(newest.as_ref().map(|snapshot| &snapshot.meta))?;
        let mut store = Self {
            disk,
            options,
            identity,
            hard_state: replay.hard_state,
            last: replay.last(),
            sequence: replay.sequence,
            segments: replay.segments.iter().copied().collect(),
            snapshot: newest.as_ref().map(|snapshot| snapshot.meta.index),
            snapshot_bytes,
            poisoned: None,
        };
        store.rewrite_last_segment(replay.tail, has_conflict)?;
        if replay.torn_bytes > 0 {
            log::warn!(target: "store", "truncated {} bytes of a torn write", replay.torn_bytes);
        }
        store.remove_covered(&files)?;
        let recovered = replica::Recovered {
            voter: identity.voter,
            disk: identity.disk,
            hard_state: replay.hard_state,
            snapshot: newest,
            entries: replay.entries,
        };
        Ok((Prepared::Opened(store), recovered))
    }

    /// Writes the initial files of a replica, except its identity.
    pub(super) fn create_from(
        disk: D,
        options: Options,
        identity: Identity,
        hard_state: entry::HardState,
        snapshot: Option<&snapshot::Snapshot>,
    ) -> Result<Self, StoreError> {
        let mut store = Self {
            disk,
            options,
            identity,
            hard_state,
            last: snapshot.map(|snapshot| position(&snapshot.meta)).unwrap_or_default(),
            sequence: 0,
            segments: VecDeque::new(),
            snapshot: None,
            snapshot_bytes: 0,
            poisoned: None,
        };
        store.roll_segment()?;
        if let Some(snapshot) = snapshot {
            store.write_snapshot(snapshot)?;
        }
        Ok(store)
    }

    /// Stages the identity, if it is not yet, and assigns the folder to it.
    pub(super) fn assign_folder(&mut self, is_staged: bool) -> Result<(), StoreError> {
        if !is_staged {
            self.identity.stage(&mut self.disk)?;
        }
        Identity::commit(&mut self.disk)
    }

    /// Returns the identity of the replica.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Returns the total length of the log segments and the newest snapshot, in bytes.
    pub fn size_bytes(&self) -> u64 {
        self.segments.iter().map(|segment| segment.len).sum::<u64>() + self.snapshot_bytes
    }

    /// Executes `writes` in order and syncs them before it returns. Consecutive writes without a
    /// snapshot share one sync.
    ///
    /// # Errors
    ///
    /// Returns an error if a write or sync fails or has failed before. None of `writes` may be
    /// acknowledged then.
    pub fn write(&mut self, writes: Vec<replica::Persist>) -> Result<(), StoreError> {
        if let Some(first) = &self.poisoned {
            return Err(StoreError::Poisoned { first: first.clone() });
        }
        let result = self.write_all(writes);
        if let Err(error) = &result {
            self.poisoned = Some(error.to_string());
        }
        result
    }

    fn write_all(&mut self, writes: Vec<replica::Persist>) -> Result<(), StoreError> {
        let mut batch = WriteRecord::default();
        for write in writes {
            if let Some(snapshot) = &write.snapshot {
                self.write_frame(&mem::take(&mut batch))?;
                self.write_snapshot(snapshot)?;
                batch.reset = write.reset.then(|| position(&snapshot.meta));
            }
            if let Some(hard_state) = write.hard_state {
                batch.hard_state = Some(hard_state.into());
            }
            batch.entries.extend(write.entries.iter().map(Into::into));
        }
        self.write_frame(&batch)
    }

    fn write_frame(&mut self, record: &WriteRecord) -> Result<(), StoreError> {
        if *record == WriteRecord::default() {
            return Ok(());
        }
        self.check_order(record)?;
        self.roll_segment()?;
        let Some(segment) = self.segments.back_mut() else { return Ok(()) };
        let file = names::segment(segment.number);
        let buf = frame::encode(self.sequence + 1, &record.encode_to_vec());
        let offset = segment.len;
        self.disk
            .append(&file, &buf)
            .map_err(|error| StoreError::io(&file, offset, "write", error))?;
        self.disk.sync(&file).map_err(|error| StoreError::io(&file, offset, "sync", error))?;
        segment.len += buf.len() as u64;
        segment.max_index = segment.max_index.max(max_index(record));
        self.sequence += 1;
        if let Some(hard_state) = record.hard_state {
            self.hard_state = hard_state.into();
        }
        self.last = last_position(record).unwrap_or(self.last);
        self.remove_covered_segments()
    }

    /// Checks that the entries of `record` leave no gap in the log.
    fn check_order(&self, record: &WriteRecord) -> Result<(), StoreError> {
        let mut last = record.reset.unwrap_or(self.last).index;
        for entry in &record.entries {
            if entry.index > last + 1 || entry.index == 0 {
                let number = self.segments.back().map_or(0, |segment| segment.number);
                let (last, found) = (id::Index::new(last), id::Index::new(entry.index));
                let corruption = Corruption::Gap { last, found };
                return Err(StoreError::corrupt(&names::segment(number), 0, corruption));
            }
            last = entry.index;
        }
        Ok(())
    }

    /// Starts a new segment if there is none or if the last one has reached its maximum length.
    fn roll_segment(&mut self) -> Result<(), StoreError> {
        let number = match self.segments.back() {
            Some(segment) if segment.len < self.options.get_segment_bytes() => return Ok(()),
            Some(segment) => segment.number + 1,
            None => 1,
        };
        let record = SegmentRecord {
            identity: Some(self.identity.to_record()),
            number,
            hard_state: Some(self.hard_state.into()),
            last: Some(self.last),
        };
        let buf = frame::encode(self.sequence + 1, &record.encode_to_vec());
        write_atomically(&mut self.disk, &names::segment(number), &[&buf])?;
        self.sequence += 1;
        let len = buf.len() as u64;
        self.segments.push_back(Segment { number, len, max_index: id::Index::ZERO });
        Ok(())
    }

    fn write_snapshot(&mut self, snapshot: &snapshot::Snapshot) -> Result<(), StoreError> {
        self.snapshot_bytes = snapshot_file::write(&mut self.disk, snapshot, self.identity.group)?;
        let old = self.snapshot.replace(snapshot.meta.index);
        if let Some(old) = old.filter(|old| *old != snapshot.meta.index) {
            self.remove(&names::snapshot(old))?;
        }
        Ok(())
    }

    /// Rewrites the last segment without a torn frame and discards entries that conflict with the
    /// snapshot. The rewrite is needed even for an intact segment: after a failed sync, a file may
    /// be read correctly from the page cache and still be missing on the disk.
    fn rewrite_last_segment(
        &mut self,
        mut tail: Vec<u8>,
        has_conflict: bool,
    ) -> Result<(), StoreError> {
        let Some(segment) = self.segments.back_mut() else { return Ok(()) };
        if has_conflict {
            let record = WriteRecord { reset: Some(self.last), ..WriteRecord::default() };
            tail.extend(frame::encode(self.sequence + 1, &record.encode_to_vec()));
            self.sequence += 1;
            segment.max_index = segment.max_index.max(max_index(&record));
        }
        segment.len = tail.len() as u64;
        write_atomically(&mut self.disk, &names::segment(segment.number), &[&tail])
    }

    /// Removes older snapshots and the segments that the newest snapshot covers.
    fn remove_covered(&mut self, files: &[String]) -> Result<(), StoreError> {
        let first = self.segments.front().map_or(0, |segment| segment.number);
        for file in files {
            let is_old_snapshot =
                names::snapshot_index(file).is_some_and(|index| Some(index) < self.snapshot);
            let is_unused_segment =
                names::segment_number(file).is_some_and(|number| number < first);
            if is_old_snapshot || is_unused_segment {
                self.remove(file)?;
            }
        }
        self.remove_covered_segments()
    }

    /// Removes the oldest segments whose entries are all covered by the snapshot.
    fn remove_covered_segments(&mut self) -> Result<(), StoreError> {
        let Some(snapshot) = self.snapshot else { return Ok(()) };
        while self.segments.len() > 1 && self.segments[0].max_index <= snapshot {
            let Some(segment) = self.segments.pop_front() else { break };
            self.remove(&names::segment(segment.number))?;
        }
        Ok(())
    }

    fn remove(&mut self, file: &str) -> Result<(), StoreError> {
        self.disk.remove(file).map_err(|error| StoreError::io(file, 0, "remove", error))
    }
}

pub(super) fn list<D>(disk: &mut D) -> Result<Vec<String>, StoreError>
where
    D: Disk,
{
    disk.list().map_err(|error| StoreError::io(".", 0, "list", error))
}

pub(super) fn sync_folder<D>(disk: &mut D) -> Result<(), StoreError>
where
    D: Disk,
{
    disk.sync_folder().map_err(|error| StoreError::io(".", 0, "sync of the folder", error))
}

/// Removes temporary files of interrupted writes, and returns the names of the other files.
pub(super) fn remove_temporaries<D>(
    disk: &mut D,
    files: Vec<String>,
) -> Result<Vec<String>, StoreError>
where
    D: Disk,
{
    let (temporary, complete): (Vec<_>, Vec<_>) =
        files.into_iter().partition(|file| file.ends_with(names::TEMPORARY_SUFFIX));
    for file in temporary {
        disk.remove(&file).map_err(|error| StoreError::io(&file, 0, "remove", error))?;
    }
    Ok(complete)
}

fn position(meta: &snapshot::SnapshotMeta) -> PositionRecord {
    PositionRecord { index: meta.index.get(), term: meta.term.get() }
}

fn last_position(record: &WriteRecord) -> Option<PositionRecord> {
    let entry = record.entries.last();
    let position = entry.map(|entry| PositionRecord { index: entry.index, term: entry.term });
    position.or(record.reset)
}

fn max_index(record: &WriteRecord) -> id::Index {
    let entries = record.entries.iter().map(|entry| entry.index);
    let reset = record.reset.map(|position| position.index);
    id::Index::new(entries.chain(reset).max().unwrap_or(0))
}
