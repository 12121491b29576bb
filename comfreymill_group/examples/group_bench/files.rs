use bytes::Bytes;
use comfreymill_group::{entry, id, replica, snapshot, store};
use std::io::{self, Write};
use std::path;
use std::time::Instant;

const ENTRIES: u64 = 20_000;
const ENTRY_BYTES: usize = 200;
const SNAPSHOT_BYTES: usize = 10 * 1024 * 1024;

fn open(folder: &path::Path) -> io::Result<(store::Store<store::FolderDisk>, replica::Recovered)> {
    let disk = store::FolderDisk::open(folder)?;
    let options = store::Options::new(id::GroupId::new(1), id::VoterId::new(1));
    store::Store::open(disk, options).map_err(io::Error::other)
}

/// Measures the time to open a log without a snapshot.
pub(crate) fn measure_restart<W>(folder: &path::Path, out: &mut W) -> io::Result<()>
where
    W: Write,
{
    let folder = folder.join("restart");
    let (mut store, _) = open(&folder)?;
    for batch in 0..ENTRIES / 100 {
        let entries = (1..=100).map(|offset| entry::Entry {
            index: id::Index::new(batch * 100 + offset),
            term: id::Term::new(1),
            payload: entry::Payload::Data(Bytes::from(vec![3; ENTRY_BYTES])),
        });
        let sequence = id::Sequence::new(batch + 1);
        let entries = entries.collect();
        let write = replica::Persist { sequence, entries, ..replica::Persist::default() };
        store.write(vec![write]).map_err(io::Error::other)?;
    }
    let bytes = store.size_bytes();
    drop(store);
    let start = Instant::now();
    let (_, recovered) = open(&folder)?;
    writeln!(
        out,
        "restart: {} entries of {ENTRY_BYTES} bytes ({} KB of files) read in {} ms",
        recovered.entries.len(),
        bytes / 1024,
        start.elapsed().as_millis(),
    )
}

/// Measures the time to write and to load a snapshot.
pub(crate) fn measure_snapshot<W>(folder: &path::Path, out: &mut W) -> io::Result<()>
where
    W: Write,
{
    let folder = folder.join("snapshot");
    let (mut store, _) = open(&folder)?;
    let meta = snapshot::SnapshotMeta {
        index: id::Index::new(5),
        term: id::Term::new(1),
        ..snapshot::SnapshotMeta::default()
    };
    let data = Bytes::from(vec![9; SNAPSHOT_BYTES]);
    let write = replica::Persist {
        sequence: id::Sequence::new(1),
        snapshot: Some(snapshot::Snapshot { meta, data }),
        reset: true,
        ..replica::Persist::default()
    };
    let start = Instant::now();
    store.write(vec![write]).map_err(io::Error::other)?;
    let written = start.elapsed();
    drop(store);
    let start = Instant::now();
    let (_, recovered) = open(&folder)?;
    writeln!(
        out,
        "snapshot: {} MB written and synced in {} ms, loaded and checked in {} ms",
        recovered.snapshot.map_or(0, |snapshot| snapshot.data.len()) / 1024 / 1024,
        written.as_millis(),
        start.elapsed().as_millis(),
    )
}
