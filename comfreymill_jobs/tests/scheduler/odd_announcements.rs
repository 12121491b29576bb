//! An announcement of another writer takes nothing from the workers that it looks like.

use std::time::Duration;

use comfreymill_jobs::id::WorkerNumber;
use comfreymill_jobs::scheduler::{Answer, StartAnswer};
use comfreymill_jobs::worker::{Announcement, Report};

use crate::support::{Leader, Start, running, spec, step};

/// Time of day of the tests' leaders, in milliseconds since the Unix epoch.
const UNIX_MS: u64 = 1_700_000_000_000;

/// Returns a leader with a run on a worker, and with another worker that has room.
fn with_run() -> (Leader, Start) {
    let mut leader = Leader::new();
    leader.worker("w");
    leader.submit(spec(vec![step(1)]));
    let start = leader.take_starts()[0];
    leader.started(&start, StartAnswer::Started);
    leader.report(start.worker, running(&[start]));
    leader.worker("other");
    (leader, start)
}

/// Checks that the worker of a run still has it, and that its departure is still heard.
fn assert_holds(leader: &mut Leader, start: &Start, context: &str) {
    leader.report(start.worker, running(&[*start]));
    leader.advance(Duration::from_millis(500));
    assert!(leader.take_starts().is_empty(), "{context}: the run goes on and is started again");
    let mut leaving = leader.announcement("w", 10);
    leaving.leaving_in = Some(Duration::from_millis(2_500));
    leader.announce(leaving);
    let is_leaving = leader.state.get_leaving().contains_key(&start.worker);
    assert!(is_leaving, "{context}: the departure is not heard");
}

fn number_of(leader: &Leader, announced: &Announcement) -> WorkerNumber {
    let known = leader.state.get_workers().iter().find(|(_, worker)| {
        worker.announced.name == announced.name
            && worker.announced.born_unix_ms == announced.born_unix_ms
    });
    *known.expect("the worker is in the log").0
}

#[test]
fn a_start_of_life_in_the_future_replaces_no_worker() {
    for born in [u64::MAX, u64::MAX - 1, 1 << 63, UNIX_MS + 3_600_000] {
        for (name, same_address) in [("w", true), ("w", false), ("x", true)] {
            let (mut leader, start) = with_run();
            let mut odd = leader.announcement(name, born);
            if same_address {
                odd.address = leader.announcement("w", 10).address;
            } else {
                odd.address = "10.9.9.9:80".parse().expect("an address");
            }
            leader.announce(odd);
            let context = format!("born {born}, name {name}, same address {same_address}");
            assert_eq!(leader.state.get_workers().len(), 2, "{context}");
            assert_holds(&mut leader, &start, &context);
        }
    }
}

#[test]
fn a_sequence_number_that_no_worker_reaches_does_not_silence_it() {
    for sequence in [u64::MAX, u64::MAX - 1, 1 << 62, UNIX_MS + 3_600_000] {
        let (mut leader, start) = with_run();
        let odd = leader.announcement("w", 10);
        leader.announce(Announcement { sequence, ..odd });
        assert_holds(&mut leader, &start, &format!("sequence {sequence}"));
    }
}

/// Its heartbeats may go on from any sequence number that one each millisecond can reach.
#[test]
fn a_worker_that_has_run_for_long_is_heard() {
    let (mut leader, start) = with_run();
    let mut leaving = leader.announcement("w", 10);
    leaving.sequence = UNIX_MS / 2;
    leaving.leaving_in = Some(Duration::from_millis(2_500));
    leader.announce(leaving);
    assert!(leader.state.get_leaving().contains_key(&start.worker));
}

/// Another writer names the address of a live worker, or its name at another address; the start of
/// life that it states is possible.
#[test]
fn a_worker_is_not_replaced_before_its_successor_has_answered() {
    for (name, address) in [("x", "10.0.0.119:80"), ("w", "10.9.9.9:80")] {
        for is_real in [false, true] {
            let (mut leader, start) = with_run();
            let mut other = leader.announcement(name, 11);
            other.address = address.parse().expect("an address");
            leader.announce(other.clone());
            let number = number_of(&leader, &other);
            assert!(leader.take_starts().is_empty(), "{name}: nothing has answered there yet");
            if is_real {
                leader.report(number, Report { born_unix_ms: Some(11), ..Report::default() });
                assert_eq!(leader.take_starts().len(), 1, "{name}: the run has ended");
                assert_eq!(leader.state.get_workers().len(), 2);
            } else {
                leader.scheduler.answered(leader.now, number, leader.now, Answer::WorkerGone);
                leader.settle();
                assert_holds(&mut leader, &start, name);
            }
        }
    }
}

/// The successor that another writer named never answers, and the worker itself starts again.
#[test]
fn a_worker_that_starts_again_is_heard_beside_one_that_never_answers() {
    let (mut leader, start) = with_run();
    let mut odd = leader.announcement("w", UNIX_MS + 30_000);
    odd.address = "10.9.9.9:80".parse().expect("an address");
    leader.announce(odd);
    let again = leader.announcement("w", 12);
    leader.announce(again.clone());
    let number = number_of(&leader, &again);
    assert_ne!(number, start.worker);
    assert_eq!(leader.take_starts().len(), 1, "the run ended with its incarnation");
}
