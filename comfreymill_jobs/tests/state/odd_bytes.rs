//! Snapshots and log entries that are damaged are refused, without a panic or a huge allocation.

use comfreymill_jobs::state::{Command, State};

use super::{add_worker, note, routes, state_of, submit};
use comfreymill_jobs::worker::EndKind;

/// Varint of the largest length.
const HUGE_LENGTH: [u8; 10] = [0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01];

/// Returns `valid` cut off, with other bytes, and with huge lengths at each place.
fn damaged(valid: &[u8]) -> Vec<Vec<u8>> {
    let mut all = Vec::new();
    for position in 0..valid.len() {
        all.push(valid[..position].to_vec());
        for byte in [0, 1, 0x7f, 0x80, 0xff] {
            let mut other = valid.to_vec();
            other[position] = byte;
            all.push(other);
        }
        all.push([&valid[..position], &HUGE_LENGTH, &valid[position..]].concat());
    }
    all
}

#[test]
fn a_damaged_snapshot_is_read_or_refused() {
    let state =
        state_of(vec![routes(1, "{}"), submit(), add_worker(), note(1, 0, 1, EndKind::Failed)]);
    let valid = state.to_snapshot().expect("encodable");
    assert_eq!(State::from_snapshot(&valid).as_ref(), Ok(&state));
    let refused = damaged(&valid).iter().filter(|data| State::from_snapshot(data).is_err()).count();
    assert!(refused > valid.len(), "{refused} of {} refused", damaged(&valid).len());
}

#[test]
fn a_damaged_command_is_read_or_refused() {
    for command in [routes(1, "{}"), submit(), add_worker(), note(1, 0, 1, EndKind::Done)] {
        let valid = postcard::to_stdvec(&command).expect("encodable");
        for data in damaged(&valid) {
            if let Ok(command) = postcard::from_bytes::<Command>(&data) {
                let mut state = state_of(vec![submit(), add_worker()]);
                state.apply(100, command);
            }
        }
        for end in 0..valid.len() {
            assert!(postcard::from_bytes::<Command>(&valid[..end]).is_err(), "cut off at {end}");
        }
    }
}
