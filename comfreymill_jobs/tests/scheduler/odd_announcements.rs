//! An announcement of another writer takes nothing from the workers that it looks like.

use std::time::Duration;

use comfreymill_jobs::id::WorkerNumber;
use comfreymill_jobs::routes::Pool;
use comfreymill_jobs::scheduler::{Answer, StartAnswer};
use comfreymill_jobs::state::Command;
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

/// One heartbeat of another writer that named a service of no configuration took the worker out of its
/// pool, and its count made the worker's own heartbeats outdated.
#[test]
fn a_service_of_no_configuration_takes_no_worker_away() {
    let mut leader = Leader::new();
    let worker = leader.worker("w");
    let mut odd = Announcement { sequence: 500, ..leader.announcement("w", 10) };
    odd.pool = "unheard".to_owned();
    leader.announce(odd);
    leader.submit(spec(vec![step(1)]));
    let starts = leader.take_starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].worker, worker);
    let mut leaving = leader.announcement("w", 10);
    leaving.leaving_in = Some(Duration::from_millis(2_500));
    leader.announce(leaving);
    assert!(leader.state.get_leaving().contains_key(&worker), "its own announcements are heard");
}

/// A worker whose service was removed from the configuration still says that it leaves.
#[test]
fn a_worker_of_a_removed_service_is_heard() {
    let mut leader = Leader::new();
    let worker = leader.worker("w");
    let other = Pool { name: "others".to_owned(), is_guarded: true, is_standby: false };
    leader.set_routes(Vec::new(), vec![other]);
    let mut leaving = leader.announcement("w", 10);
    leaving.leaving_in = Some(Duration::from_millis(2_500));
    leader.announce(leaving);
    assert!(leader.state.get_leaving().contains_key(&worker));
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

/// Another writer announced thousands of names, each of which was committed, polled and kept.
#[test]
fn the_number_of_workers_that_never_answer_is_bounded() {
    let (mut leader, start) = with_run();
    for number in 0..6_000 {
        let mut odd = leader.announcement(&format!("odd-{number}"), 10);
        odd.address =
            format!("10.{}.{}.7:80", 100 + number / 250, number % 250).parse().expect("an address");
        leader.announce(odd);
    }
    let known = leader.state.get_workers().len();
    assert!(known <= 1_026, "{known} workers");
    assert_holds(&mut leader, &start, "thousands of names");
    // Those that do not answer within a minute make room for one that does.
    leader.advance(Duration::from_secs(61));
    let numbers: Vec<WorkerNumber> = leader.state.get_workers().keys().copied().collect();
    for number in numbers {
        leader.leaves_poll_unanswered(number);
    }
    assert_eq!(leader.state.get_workers().len(), 2, "only those that have answered are left");
    leader.worker("late");
}

/// A service that the configuration does not name has no queues; its workers join with the
/// configuration that names it.
#[test]
fn a_worker_of_an_unknown_service_is_registered_once_a_configuration_names_it() {
    let (mut leader, _) = with_run();
    let other = leader.announcement("x", 10);
    leader.announce(Announcement { pool: "unheard".to_owned(), ..other });
    assert_eq!(leader.state.get_workers().len(), 2);
    let mut table = leader.state.get_routes().expect("routes").table.clone();
    table.version += 1;
    table.pools.push(Pool { name: "unheard".to_owned(), is_guarded: true, is_standby: false });
    leader.commit(vec![Command::SetRoutes { table: Box::new(table), document: "{}".into() }]);
    let other = leader.announcement("x", 10);
    leader.announce(Announcement { pool: "unheard".to_owned(), ..other });
    assert_eq!(leader.state.get_workers().len(), 3);
}
