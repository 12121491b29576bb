use crate::entry;
use crate::id;
use crate::replica;
use crate::snapshot;
use crate::store::identity::write_whole;
use crate::store::record::{PositionRecord, SegmentRecord, WriteRecord};
use crate::store::replay::Replay;
use crate::store::segment::Segment;
use crate::store::{Damage, Disk, Identity, Options, StoreError, frame, names, snapshot_file};
use prost::Message as _;
use std::collections::VecDeque;
use std::mem;

/// Log and snapshots of one replica in files.
#[derive(Debug)]
pub struct Store<D> {
    disk: D,
    options: Options,
    identity: Identity,
    hard_state: entry::HardState,
    last: PositionRecord,
    sequence: u64,
    /// Segments from the oldest on; the last one is written to.
    segments: VecDeque<Segment>,
    snapshot: Option<id::Index>,
    snapshot_bytes: u64,
    poisoned: Option<String>,
}

impl<D> Store<D>
where
    D: Disk,
{
    /// Opens the files on `disk`, or starts anew on an empty one.
    ///
    /// # Errors
    ///
    /// A file can't be read or written, is damaged or belongs to another replica.
    pub fn open(mut disk: D, options: Options) -> Result<(Self, replica::Recovered), StoreError> {
        let files = list(&mut disk)?;
        let files = remove_temporaries(&mut disk, files)?;
        if !files.iter().any(|file| file == names::IDENTITY) {
            return Self::create(disk, options, &files);
        }
        let identity = Identity::open(&mut disk, &options)?;
        let newest = snapshot_file::read_newest(&mut disk, &files, identity.group)?;
        let (newest, snapshot_bytes) = newest.map_or((None, 0), |(it, len)| (Some(it), len));
        let mut replay = Replay::read(&mut disk, &files, &identity)?;
        if replay.segments.is_empty() {
            return Err(StoreError::damaged(&names::segment(1), 0, Damage::NoSegments));
        }
        let is_void = replay.apply_snapshot(newest.as_ref().map(|it| &it.meta))?;
        let mut store = Self {
            disk,
            options,
            identity,
            hard_state: replay.hard_state,
            last: replay.last(),
            sequence: replay.sequence,
            segments: replay.segments.iter().copied().collect(),
            snapshot: newest.as_ref().map(|it| it.meta.index),
            snapshot_bytes,
            poisoned: None,
        };
        store.renew_tail(replay.tail, is_void)?;
        if replay.torn_bytes > 0 {
            log::warn!(target: "store", "cut off {} bytes of a torn write", replay.torn_bytes);
        }
        store.remove_covered(&files)?;
        let recovered = replica::Recovered {
            voter: identity.voter,
            disk: identity.disk,
            hard_state: replay.hard_state,
            snapshot: newest,
            entries: replay.entries,
        };
        Ok((store, recovered))
    }

    /// Makes an empty folder this replica's. The identity is written last: a folder without one
    /// holds no more than a segment to which nothing was ever written.
    fn create(
        mut disk: D,
        options: Options,
        files: &[String],
    ) -> Result<(Self, replica::Recovered), StoreError> {
        for file in files {
            if !Replay::is_unused(&mut disk, file)? {
                return Err(StoreError::damaged(names::IDENTITY, 0, Damage::NoIdentity));
            }
            disk.remove(file).map_err(|error| StoreError::io(file, 0, "remove", error))?;
        }
        let identity = Identity::new(&options);
        let hard_state = entry::HardState::default();
        let store = Self::create_from(disk, options, identity, hard_state, None)?;
        let (voter, disk) = (identity.voter, identity.disk);
        let recovered = replica::Recovered { voter, disk, ..replica::Recovered::default() };
        Ok((store, recovered))
    }

    /// Writes the first files of a replica, the identity last.
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
            last: snapshot.map(|it| position(&it.meta)).unwrap_or_default(),
            sequence: 0,
            segments: VecDeque::new(),
            snapshot: None,
            snapshot_bytes: 0,
            poisoned: None,
        };
        store.roll()?;
        if let Some(snapshot) = snapshot {
            store.write_snapshot(snapshot)?;
        }
        identity.write(&mut store.disk)?;
        Ok(store)
    }

    /// Identity of the replica.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Length of all files of the log and of the newest snapshot.
    pub fn size_bytes(&self) -> u64 {
        self.segments.iter().map(|segment| segment.len).sum::<u64>() + self.snapshot_bytes
    }

    /// Carries out `writes` in their order; on return all are synced. Writes without a snapshot
    /// share one sync.
    ///
    /// # Errors
    ///
    /// A write or sync failed, now or earlier; nothing may be acknowledged then.
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
        let mut group = WriteRecord::default();
        for write in writes {
            if let Some(snapshot) = &write.snapshot {
                self.write_frame(&mem::take(&mut group))?;
                self.write_snapshot(snapshot)?;
                group.reset = write.reset.then(|| position(&snapshot.meta));
            }
            if let Some(hard_state) = write.hard_state {
                group.hard_state = Some(hard_state.into());
            }
            group.entries.extend(write.entries.iter().map(Into::into));
        }
        self.write_frame(&group)
    }

    fn write_frame(&mut self, record: &WriteRecord) -> Result<(), StoreError> {
        if *record == WriteRecord::default() {
            return Ok(());
        }
        self.check_order(record)?;
        self.roll()?;
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

    fn check_order(&self, record: &WriteRecord) -> Result<(), StoreError> {
        let mut last = record.reset.unwrap_or(self.last).index;
        for entry in &record.entries {
            if entry.index > last + 1 || entry.index == 0 {
                let number = self.segments.back().map_or(0, |segment| segment.number);
                let (last, found) = (id::Index::new(last), id::Index::new(entry.index));
                let damage = Damage::Gap { last, found };
                return Err(StoreError::damaged(&names::segment(number), 0, damage));
            }
            last = entry.index;
        }
        Ok(())
    }

    /// Starts a new segment if there is none, or if the last one is long enough.
    fn roll(&mut self) -> Result<(), StoreError> {
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
        write_whole(&mut self.disk, &names::segment(number), &[&buf])?;
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

    /// Writes the last segment anew without a torn frame, and voids entries that contradict the
    /// snapshot. After a failed sync a file may read well from memory and not be on the disk.
    fn renew_tail(&mut self, mut tail: Vec<u8>, is_void: bool) -> Result<(), StoreError> {
        let Some(segment) = self.segments.back_mut() else { return Ok(()) };
        if is_void {
            let record = WriteRecord { reset: Some(self.last), ..WriteRecord::default() };
            tail.extend(frame::encode(self.sequence + 1, &record.encode_to_vec()));
            self.sequence += 1;
            segment.max_index = segment.max_index.max(max_index(&record));
        }
        segment.len = tail.len() as u64;
        write_whole(&mut self.disk, &names::segment(segment.number), &[&tail])
    }

    fn remove_covered(&mut self, files: &[String]) -> Result<(), StoreError> {
        for file in files {
            if names::snapshot_index(file).is_some_and(|index| Some(index) < self.snapshot) {
                self.remove(file)?;
            }
        }
        self.remove_covered_segments()
    }

    /// Removes the oldest segments as long as the snapshot covers all their entries.
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

fn list<D>(disk: &mut D) -> Result<Vec<String>, StoreError>
where
    D: Disk,
{
    disk.list().map_err(|error| StoreError::io(".", 0, "list", error))
}

/// Removes files that were not finished, and returns the others.
fn remove_temporaries<D>(disk: &mut D, files: Vec<String>) -> Result<Vec<String>, StoreError>
where
    D: Disk,
{
    let (temporary, whole): (Vec<_>, Vec<_>) =
        files.into_iter().partition(|file| file.ends_with(names::TEMPORARY));
    for file in temporary {
        disk.remove(&file).map_err(|error| StoreError::io(&file, 0, "remove", error))?;
    }
    Ok(whole)
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
