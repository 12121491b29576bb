use crate::entry;
use crate::id;
use crate::snapshot;
use crate::store::record::{PositionRecord, SegmentRecord, WriteRecord};
use crate::store::segment::Segment;
use crate::store::{Corruption, Disk, Identity, StoreError, frame, names};
use prost::Message as _;

/// Log state reconstructed by reading the segments in order.
#[derive(Debug, Default)]
pub(super) struct Replay {
    pub(super) hard_state: entry::HardState,
    /// Position before the first entry of `entries`.
    pub(super) base: PositionRecord,
    /// Position of the last entry in the removed segments; a snapshot has to cover it.
    last_removed: PositionRecord,
    pub(super) entries: Vec<entry::Entry>,
    pub(super) segments: Vec<Segment>,
    /// Sequence number of the last frame.
    pub(super) sequence: u64,
    /// Content of the last segment without a torn frame.
    pub(super) tail: Vec<u8>,
    /// Length of the torn frame at the end of the last segment, in bytes.
    pub(super) torn_bytes: u64,
}

impl Replay {
    /// Reads the consecutive segments named in `files` up to the last one.
    pub(super) fn read<D>(
        disk: &mut D,
        files: &[String],
        identity: &Identity,
    ) -> Result<Self, StoreError>
    where
        D: Disk,
    {
        let mut numbers: Vec<_> =
            files.iter().filter_map(|file| names::segment_number(file)).collect();
        numbers.sort_unstable();
        // A power loss may undo the removal of some covered segments and not of those after them.
        let gap = numbers.windows(2).rposition(|pair| pair[0] + 1 != pair[1]);
        let numbers = &numbers[gap.map_or(0, |position| position + 1)..];
        let mut replay = Self::default();
        for (position, number) in numbers.iter().enumerate() {
            let is_last = position + 1 == numbers.len();
            replay.read_segment(disk, *number, identity, is_last)?;
        }
        Ok(replay)
    }

    /// Returns whether `file` is the first segment and contains only its header.
    pub(super) fn is_empty_first_segment<D>(disk: &mut D, file: &str) -> Result<bool, StoreError>
    where
        D: Disk,
    {
        if names::segment_number(file) != Some(1) {
            return Ok(false);
        }
        let buf = disk.read(file).map_err(|error| StoreError::io(file, 0, "read", error))?;
        match frame::parse(&buf, 0) {
            frame::Parsed::Frame(header) => Ok(header.payload.end == buf.len()),
            _ => Ok(false),
        }
    }

    /// Returns the position of the last entry.
    pub(super) fn last(&self) -> PositionRecord {
        self.entries.last().map_or(self.base, |entry| PositionRecord {
            index: entry.index.get(),
            term: entry.term.get(),
        })
    }

    /// Drops the entries that `newest` covers or conflicts with, and returns whether the entries
    /// in the files have to be discarded because they conflict with it.
    pub(super) fn apply_snapshot(
        &mut self,
        newest: Option<&snapshot::SnapshotMeta>,
    ) -> Result<bool, StoreError> {
        let index = newest.map_or(id::Index::ZERO, |meta| meta.index);
        let base = id::Index::new(self.base.index.max(self.last_removed.index));
        if index < base {
            let file = self
                .segments
                .first()
                .map_or_else(String::new, |segment| names::segment(segment.number));
            let corruption = Corruption::NoSnapshot { base, snapshot: index };
            return Err(StoreError::corrupt(&file, 0, corruption));
        }
        let Some(meta) = newest else { return Ok(false) };
        let is_consistent = self.term_at(index) == Some(meta.term);
        if is_consistent {
            self.entries.retain(|entry| entry.index > index);
        } else {
            self.entries.clear();
        }
        self.base = PositionRecord { index: index.get(), term: meta.term.get() };
        Ok(!is_consistent)
    }

    fn term_at(&self, index: id::Index) -> Option<id::Term> {
        if index.get() == self.base.index {
            return Some(id::Term::new(self.base.term));
        }
        self.entries.iter().find(|entry| entry.index == index).map(|entry| entry.term)
    }

    fn read_segment<D>(
        &mut self,
        disk: &mut D,
        number: u64,
        identity: &Identity,
        is_last: bool,
    ) -> Result<(), StoreError>
    where
        D: Disk,
    {
        let file = names::segment(number);
        let mut buf = disk.read(&file).map_err(|error| StoreError::io(&file, 0, "read", error))?;
        let mut segment = Segment { number, len: 0, max_index: id::Index::ZERO };
        let mut offset = 0;
        loop {
            let at = |corruption| StoreError::corrupt(&file, offset as u64, corruption);
            match frame::parse(&buf, offset) {
                frame::Parsed::End if offset > 0 => break,
                frame::Parsed::Torn if is_last && offset > 0 => break,
                frame::Parsed::End | frame::Parsed::Torn => return Err(at(Corruption::Truncated)),
                frame::Parsed::Corrupt(corruption) => return Err(at(corruption)),
                frame::Parsed::Frame(found) => {
                    let end = found.payload.end;
                    let payload = &buf[found.payload];
                    if offset == 0 {
                        self.start_segment(payload, found.sequence, number, identity)
                            .map_err(at)?;
                    } else {
                        let max_index = self.apply(payload, found.sequence).map_err(at)?;
                        segment.max_index = segment.max_index.max(max_index);
                    }
                    offset = end;
                }
            }
        }
        self.torn_bytes = (buf.len() - offset) as u64;
        buf.truncate(offset);
        segment.len = offset as u64;
        self.segments.push(segment);
        self.tail = buf;
        Ok(())
    }

    fn start_segment(
        &mut self,
        payload: &[u8],
        sequence: u64,
        number: u64,
        identity: &Identity,
    ) -> Result<(), Corruption> {
        let record = SegmentRecord::decode(payload)?;
        if record.identity != Some(identity.to_record()) {
            return Err(Corruption::OtherReplica);
        }
        if record.number != number {
            return Err(Corruption::Sequence { expected: number, found: record.number });
        }
        let last = record.last.unwrap_or_default();
        if !self.segments.is_empty() {
            check_sequence(self.sequence + 1, sequence)?;
            if last != self.last() {
                let (last, found) = (id::Index::new(self.last().index), id::Index::new(last.index));
                return Err(Corruption::Gap { last, found });
            }
        } else {
            self.base = last;
            self.last_removed = last;
        }
        self.sequence = sequence;
        self.hard_state = record.hard_state.unwrap_or_default().into();
        Ok(())
    }

    /// Applies a write record, and returns its highest index.
    fn apply(&mut self, payload: &[u8], sequence: u64) -> Result<id::Index, Corruption> {
        check_sequence(self.sequence + 1, sequence)?;
        self.sequence = sequence;
        let record = WriteRecord::decode(payload)?;
        if let Some(hard_state) = record.hard_state {
            self.hard_state = hard_state.into();
        }
        let mut max_index = id::Index::ZERO;
        if let Some(reset) = record.reset {
            self.entries.clear();
            self.base = reset;
            max_index = id::Index::new(reset.index);
        }
        for entry in record.entries {
            let entry = entry::Entry::from(entry);
            max_index = max_index.max(entry.index);
            self.push(entry)?;
        }
        Ok(max_index)
    }

    fn push(&mut self, entry: entry::Entry) -> Result<(), Corruption> {
        let last = id::Index::new(self.last().index);
        if entry.index.get() <= self.base.index && self.base == self.last_removed {
            // Overwrites entries at the end of a removed segment; the snapshot covers the log with
            // these new entries.
            self.entries.clear();
            let index = entry.index.previous().get();
            self.base = PositionRecord { index, term: 0 };
        }
        let last = last.min(id::Index::new(self.last().index));
        let base = id::Index::new(self.base.index);
        if entry.index <= base || entry.index > last.next() {
            return Err(Corruption::Gap { last, found: entry.index });
        }
        let retained = entry.index.distance_from(base) - 1;
        self.entries.truncate(usize::try_from(retained).unwrap_or(usize::MAX));
        self.entries.push(entry);
        Ok(())
    }
}

fn check_sequence(expected: u64, found: u64) -> Result<(), Corruption> {
    if expected == found { Ok(()) } else { Err(Corruption::Sequence { expected, found }) }
}
