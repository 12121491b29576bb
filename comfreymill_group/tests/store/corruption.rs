use crate::store::faulty_disk::{FaultyDisk, Files};
use crate::store::model::{self, Model};
use comfreymill_group::store;

/// Returns the files after 16 writes, and the expected state before the first and after each one.
fn sample(seed: u64) -> (Files, Vec<Model>) {
    let disk = FaultyDisk::default();
    let (mut store, _) = store::Store::open(disk.clone(), model::options()).expect("opens");
    let mut states = vec![Model::default()];
    for write in model::writes(seed, 16) {
        let mut next = states[states.len() - 1].clone();
        next.write(&write);
        store.write(vec![write]).expect("writes");
        states.push(next);
    }
    (disk.files(), states)
}

fn last_segment(files: &Files) -> &str {
    files.keys().rfind(|name| name.starts_with("log-")).expect("a segment")
}

fn assert_corrupt(result: model::OpenResult, file: &str) {
    match result {
        Err(store::StoreError::Corrupt { file: named, .. }) => assert_eq!(named, file),
        Err(error) => panic!("{file}: unexpected error: {error}"),
        Ok((_, recovered)) => panic!("{file}: corruption not detected, recovered {recovered:?}"),
    }
}

#[test]
fn a_last_segment_truncated_at_any_byte_gives_an_earlier_state() {
    for seed in 0..8 {
        let (files, states) = sample(seed);
        let name = last_segment(&files).to_owned();
        let header_bytes = header_bytes(&files[&name]);
        for len in 0..files[&name].len() {
            let mut truncated = files.clone();
            truncated.get_mut(&name).expect("present").truncate(len);
            let opened = model::open(&truncated);
            if len < header_bytes {
                assert_corrupt(opened, &name);
                continue;
            }
            let found = Model::of(opened.expect("a torn tail opens").1);
            assert!(is_earlier(&states, &found), "seed {seed}, truncated at {len}: {found:?}");
        }
    }
}

#[test]
fn an_earlier_segment_truncated_at_any_byte_is_an_error() {
    let mut tried = 0;
    for seed in 0..8 {
        let (files, _) = sample(seed);
        let last = last_segment(&files).to_owned();
        for name in files.keys().filter(|name| name.starts_with("log-") && **name != last) {
            for len in 0..files[name].len() {
                let mut truncated = files.clone();
                truncated.get_mut(name).expect("present").truncate(len);
                let opened = model::open(&truncated);
                let Err(store::StoreError::Corrupt { .. }) = opened else {
                    panic!("seed {seed}: {name} truncated at {len} not detected");
                };
                tried += 1;
            }
        }
    }
    assert!(tried > 0, "no seed produced more than one segment");
}

#[test]
fn a_flipped_byte_is_an_error_or_truncates_the_last_frame() {
    for seed in 0..8 {
        let (files, states) = sample(seed);
        let last = last_segment(&files).to_owned();
        let last_frame = last_frame_start(&files[&last]);
        for (name, content) in &files {
            for offset in 0..content.len() {
                let mut flipped = files.clone();
                flipped.get_mut(name).expect("present")[offset] ^= 0x10;
                let opened = model::open(&flipped);
                if *name == last && offset >= last_frame && last_frame > 0 {
                    let found = Model::of(opened.expect("truncates the last frame").1);
                    assert!(is_earlier(&states, &found), "seed {seed}, {name} at {offset}");
                } else {
                    assert_corrupt(opened, name);
                }
            }
        }
    }
}

#[test]
fn a_missing_file_is_an_error() {
    for seed in 0..8 {
        let (files, states) = sample(seed);
        let last = last_segment(&files).to_owned();
        for name in files.keys().filter(|name| **name != last) {
            let mut missing = files.clone();
            missing.remove(name);
            let is_allowed = match model::open(&missing) {
                Err(_) => true,
                Ok(_) if name.starts_with("snapshot-") => starts_at_one(&files),
                Ok((_, recovered)) => Model::of(recovered) == states[states.len() - 1],
            };
            assert!(is_allowed, "seed {seed}: missing {name} not detected");
        }
    }
}

#[test]
fn an_error_names_file_and_offset() {
    let (mut files, _) = sample(1);
    let name = files.keys().find(|name| name.starts_with("log-")).expect("a segment").clone();
    files.get_mut(&name).expect("present")[30] ^= 1;
    let error = model::open(&files).expect_err("corrupt").to_string();
    assert!(error.starts_with(&format!("{name} at offset 0: ")), "{error}");
}

/// Returns whether the log contains its first segment, so that no snapshot is needed.
fn starts_at_one(files: &Files) -> bool {
    files.keys().any(|name| name.ends_with("-00000000000000000001.seg"))
}

/// Returns whether `found` is one of `states`, apart from a newer snapshot.
fn is_earlier(states: &[Model], found: &Model) -> bool {
    states.iter().any(|state| {
        let is_same_log = state.hard_state == found.hard_state;
        let newest = found.snapshot.as_ref().map(|snapshot| snapshot.meta.index);
        let is_uncovered = |entry: &&comfreymill_group::entry::Entry| Some(entry.index) > newest;
        let rest: Vec<_> = state.entries.iter().filter(is_uncovered).collect();
        is_same_log && (rest.iter().copied().eq(found.entries.iter()) || found.entries.is_empty())
    })
}

fn header_bytes(segment: &[u8]) -> usize {
    24 + payload_bytes(segment)
}

fn payload_bytes(frame: &[u8]) -> usize {
    let mut len = [0; 4];
    len.copy_from_slice(&frame[4..8]);
    u32::from_le_bytes(len) as usize
}

fn last_frame_start(segment: &[u8]) -> usize {
    let mut start = 0;
    loop {
        let next = start + 24 + payload_bytes(&segment[start..]);
        if next == segment.len() {
            return start;
        }
        start = next;
    }
}
