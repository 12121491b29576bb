//! The departure of an incarnation may arrive when the next one is registered.

use std::time::Duration;

use comfreymill_jobs::id::{WorkerName, WorkerNumber};
use comfreymill_jobs::job::StepSpec;
use comfreymill_jobs::scheduler::{Answer, Order, PollAnswer, StartAnswer};
use comfreymill_jobs::state::Command;
use comfreymill_jobs::worker::{Departure, Report};

use crate::support::{LEASE, Leader, running, spec, step};

/// Handles a departure of the worker "w".
fn depart(leader: &mut Leader) {
    let departure = Departure { name: WorkerName::new("w") };
    let command = leader.scheduler.departed(leader.now, &departure);
    leader.commit(command.into_iter().collect());
    leader.settle();
}

fn refuse_connection(leader: &mut Leader, worker: WorkerNumber) {
    let answer = Answer::Poll(PollAnswer::Unreachable);
    leader.scheduler.answered(leader.now, worker, leader.now, answer);
    leader.settle();
}

fn count_starts_of_a_job(leader: &mut Leader) -> usize {
    leader.submit(spec(vec![step(1)]));
    leader.advance(Duration::from_millis(100));
    leader.take_starts().len()
}

/// The case that the review found: the worker got no task any more, whatever it announced.
#[test]
fn a_worker_that_has_started_again_is_used_after_the_departure_before_it() {
    for has_next_leader in [false, true] {
        let mut leader = Leader::new();
        let worker = leader.worker("w");
        depart(&mut leader);
        if has_next_leader {
            leader = leader.into_next_leader();
            leader.settle();
        }
        leader.report(worker, Report::default());
        assert_eq!(count_starts_of_a_job(&mut leader), 1, "next leader: {has_next_leader}");
    }
}

#[test]
fn a_worker_that_has_departed_is_not_used_before_it_answers() {
    let mut leader = Leader::new();
    let worker = leader.worker("w");
    leader.orders.clear();
    depart(&mut leader);
    let is_poll = |order: &Order| matches!(order, Order::Poll { worker: to, .. } if *to == worker);
    assert!(leader.orders.iter().any(is_poll), "it is asked at once");
    assert_eq!(count_starts_of_a_job(&mut leader), 0);
    refuse_connection(&mut leader, worker);
    leader.advance(Duration::from_millis(100));
    assert!(leader.take_starts().is_empty());
}

/// The runs of a worker that is leaving would be moved away.
#[test]
fn a_late_departure_stops_no_run() {
    let mut leader = Leader::new();
    let worker = leader.worker("w");
    leader.submit(spec(vec![StepSpec { is_long_running: true, ..step(1) }]));
    let start = leader.take_starts()[0];
    leader.started(&start, StartAnswer::Started);
    leader.orders.clear();
    depart(&mut leader);
    leader.report(worker, running(&[start]));
    leader.advance(Duration::from_millis(100));
    let is_stop = |order: &Order| matches!(order, Order::Stop { .. });
    assert!(!leader.orders.iter().any(is_stop));
}

/// A worker that is leaving and sends its departure has ended once it refuses connections; one that
/// announces itself later has not sent it.
#[test]
fn a_worker_that_goes_on_after_a_departure_is_not_gone_once_it_refuses_connections() {
    for goes_on in [false, true] {
        let mut leader = Leader::new();
        let worker = leader.worker("w");
        leader.submit(spec(vec![step(1)]));
        let start = leader.take_starts()[0];
        leader.started(&start, StartAnswer::Started);
        leader.report(worker, running(&[start]));
        leader.worker("other");
        let mut leaving = leader.announcement("w", 10);
        leaving.leaving_in = Some(Duration::from_millis(2_500));
        leader.announce(leaving.clone());
        depart(&mut leader);
        if goes_on {
            leaving.sequence += 1;
            leader.announce(leaving);
        }
        refuse_connection(&mut leader, worker);
        assert_eq!(leader.take_starts().is_empty(), goes_on, "goes on: {goes_on}");
        leader.advance(LEASE + LEASE / 10);
        assert_eq!(leader.take_starts().len(), usize::from(goes_on));
    }
}

/// Earlier builds marked whichever incarnation had the name, for all of its announcements.
#[test]
fn a_worker_that_an_earlier_build_marked_as_departed_is_used_once_it_answers() {
    let mut leader = Leader::new();
    let worker = leader.worker("w");
    leader.commit(vec![Command::MarkLeaving { worker, sequence: u64::MAX }]);
    let mut leader = leader.into_next_leader();
    leader.settle();
    leader.report(worker, Report::default());
    assert_eq!(count_starts_of_a_job(&mut leader), 1);
    // It is removed while it is cut off, and registers again.
    leader.scheduler.answered(leader.now, worker, leader.now, Answer::WorkerGone);
    leader.settle();
    assert!(leader.state.get_workers().is_empty());
    let again = leader.announcement("w", 10);
    leader.announce(again);
    assert_eq!(leader.state.get_workers().len(), 1);
}

/// Recorded on dhrt-mill, seed 13030: announcements that a frozen member passed on late brought back
/// seven workers that had departed; they never answered, and each new leader waited for their leases.
#[test]
fn a_late_announcement_does_not_bring_back_a_worker_that_has_departed() {
    for later in [0, 1, 5] {
        let mut leader = Leader::new();
        let worker = leader.worker("w");
        let mut leaving = leader.announcement("w", 10);
        leaving.leaving_in = Some(Duration::from_millis(2_500));
        leader.announce(leaving.clone());
        depart(&mut leader);
        refuse_connection(&mut leader, worker);
        assert!(leader.state.get_workers().is_empty());
        leaving.sequence += later;
        assert!(leader.announce(leaving.clone()), "it is acknowledged");
        assert!(leader.state.get_workers().is_empty(), "announcement {later} after the first");
        let mut leader = leader.into_next_leader();
        leader.announce(leaving);
        assert!(leader.state.get_workers().is_empty(), "the next leader, announcement {later}");
    }
}

#[test]
fn a_worker_that_is_no_longer_leaving_comes_back() {
    let mut leader = Leader::new();
    let worker = leader.worker("w");
    let mut leaving = leader.announcement("w", 10);
    leaving.leaving_in = Some(Duration::from_millis(2_500));
    leader.announce(leaving);
    depart(&mut leader);
    refuse_connection(&mut leader, worker);
    assert!(leader.state.get_workers().is_empty());
    let ready = leader.announcement("w", 10);
    leader.announce(ready);
    assert_eq!(leader.state.get_workers().len(), 1);
}
