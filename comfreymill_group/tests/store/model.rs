use crate::store::faulty_disk::{FaultyDisk, Files};
use bytes::Bytes;
use comfreymill_group::{entry, id, membership, replica, snapshot, store};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub(crate) type OpenResult =
    Result<(store::Store<FaultyDisk>, replica::Recovered), store::StoreError>;

/// Options of the tests, with segments of 300 bytes so that a few writes fill several.
pub(crate) fn options() -> store::Options {
    store::Options::new(id::GroupId::new(7), id::VoterId::new(3)).segment_bytes(300)
}

/// Opens a store on `files`.
pub(crate) fn open(files: &Files) -> OpenResult {
    store::Store::open(FaultyDisk::with_files(files), options())
}

/// Expected state of a store after some writes.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Model {
    pub(crate) hard_state: entry::HardState,
    pub(crate) snapshot: Option<snapshot::Snapshot>,
    pub(crate) entries: Vec<entry::Entry>,
}

impl Model {
    /// Returns the model of a recovered state.
    pub(crate) fn of(recovered: replica::Recovered) -> Self {
        let replica::Recovered { hard_state, snapshot, entries, .. } = recovered;
        Self { hard_state, snapshot, entries }
    }

    /// Applies `write`.
    pub(crate) fn write(&mut self, write: &replica::Persist) {
        self.hard_state = write.hard_state.unwrap_or(self.hard_state);
        if let Some(snapshot) = &write.snapshot {
            self.entries.retain(|entry| entry.index > snapshot.meta.index && !write.reset);
            self.snapshot = Some(snapshot.clone());
        }
        if let Some(first) = write.entries.first() {
            self.entries.retain(|entry| entry.index < first.index);
        }
        self.entries.extend(write.entries.iter().cloned());
    }

    fn last(&self) -> (id::Index, id::Term) {
        let base = self.snapshot.as_ref().map(|snapshot| (snapshot.meta.index, snapshot.meta.term));
        let entry = self.entries.last().map(|entry| (entry.index, entry.term));
        entry.or(base).unwrap_or_default()
    }
}

/// Generates writes like those of a replica: appends, overwritten tails, votes and snapshots.
pub(crate) fn writes(seed: u64, count: u64) -> Vec<replica::Persist> {
    make_writes(seed, count, 0)
}

/// Like [`writes`], without snapshots.
pub(crate) fn writes_without_snapshots(seed: u64, count: u64) -> Vec<replica::Persist> {
    make_writes(seed, count, 2)
}

fn make_writes(seed: u64, count: u64, first_kind: u32) -> Vec<replica::Persist> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut model = Model::default();
    let mut writes = Vec::new();
    for number in 1..=count {
        let mut write = next_write(&model, first_kind, &mut rng);
        write.sequence = id::Sequence::new(number);
        model.write(&write);
        writes.push(write);
    }
    writes
}

/// Generates a write in the state `model`, like those of [`writes`].
pub(crate) fn write_in(model: &Model, rng: &mut ChaCha8Rng) -> replica::Persist {
    next_write(model, 0, rng)
}

fn next_write(model: &Model, first_kind: u32, rng: &mut ChaCha8Rng) -> replica::Persist {
    let mut write = default();
    if rng.random_range(0..3) == 0 {
        let term = model.hard_state.term.next();
        let voter = id::VoterId::new(rng.random_range(1..5));
        let vote = Some(entry::Vote { voter, disk: id::DiskId::new(9) });
        write.hard_state = Some(entry::HardState { term, vote });
    }
    let term = write.hard_state.unwrap_or(model.hard_state).term;
    match rng.random_range(first_kind..8) {
        0 => write.snapshot = own_snapshot(model, rng),
        1 => {
            write.snapshot = Some(foreign_snapshot(model, term, rng));
            write.reset = true;
        }
        _ => write.entries = entries(model, term, rng),
    }
    write
}

/// Returns a write that appends one entry.
pub(crate) fn append(index: u64) -> replica::Persist {
    let payload = entry::Payload::Data(Bytes::from(vec![1; 40]));
    let (index, term) = (id::Index::new(index), id::Term::new(1));
    replica::Persist { entries: vec![entry::Entry { index, term, payload }], ..default() }
}

/// Returns a write of a snapshot at `index`.
pub(crate) fn snapshot(index: u64) -> replica::Persist {
    let mut rng = ChaCha8Rng::seed_from_u64(index);
    let snapshot = snapshot_at(id::Index::new(index), id::Term::new(1), &mut rng);
    replica::Persist { snapshot: Some(snapshot), ..default() }
}

fn default() -> replica::Persist {
    replica::Persist::default()
}

fn entries(model: &Model, term: id::Term, rng: &mut ChaCha8Rng) -> Vec<entry::Entry> {
    let mut first = model.last().0.next();
    if let Some(newest) = model.entries.last().filter(|entry| entry.term < term) {
        first = newest.index;
    }
    (0..rng.random_range(1..4)).map(|offset| entry(first.plus(offset), term, rng)).collect()
}

fn entry(index: id::Index, term: id::Term, rng: &mut ChaCha8Rng) -> entry::Entry {
    let len = rng.random_range(0..40);
    let data: Vec<u8> = (0..len).map(|_| rng.random()).collect();
    entry::Entry { index, term, payload: entry::Payload::Data(Bytes::from(data)) }
}

fn own_snapshot(model: &Model, rng: &mut ChaCha8Rng) -> Option<snapshot::Snapshot> {
    let covered = model.entries.get(rng.random_range(0..=model.entries.len()))?;
    Some(snapshot_at(covered.index, covered.term, rng))
}

fn foreign_snapshot(model: &Model, term: id::Term, rng: &mut ChaCha8Rng) -> snapshot::Snapshot {
    let older = model.entries.iter().filter(|entry| entry.term < term).map(|entry| entry.index);
    let conflicting = older.max().filter(|_| rng.random());
    let beyond = model.last().0.plus(rng.random_range(1..9));
    snapshot_at(conflicting.unwrap_or(beyond), term, rng)
}

fn snapshot_at(index: id::Index, term: id::Term, rng: &mut ChaCha8Rng) -> snapshot::Snapshot {
    let disk = id::DiskId::new(rng.random());
    let membership = membership::Membership::default().with_learner(id::VoterId::new(3), disk);
    let len = rng.random_range(0..100);
    let data: Vec<u8> = (0..len).map(|_| rng.random()).collect();
    let meta = snapshot::SnapshotMeta { index, term, membership };
    snapshot::Snapshot { meta, data: Bytes::from(data) }
}
