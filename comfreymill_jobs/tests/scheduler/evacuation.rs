//! No task starts in an evacuated availability zone, and its load returns in steps.

use std::time::Duration;

use comfreymill_jobs::id;
use comfreymill_jobs::scheduler::{Order, Refusal, StartAnswer};
use comfreymill_jobs::state::{Command, State};
use comfreymill_jobs::worker::{Announcement, Report};
use comfreymill_types::time::Monotonic;

use crate::support::{LEASE, Leader, Start, running, spec, step};

/// Number of tasks that a worker has room for.
const ROOM: usize = 8;

fn on(starts: &[Start], worker: id::WorkerNumber) -> usize {
    starts.iter().filter(|start| start.worker == worker).count()
}

fn with_two_zones() -> (Leader, id::WorkerNumber, id::WorkerNumber) {
    let mut leader = Leader::new();
    let (south, north) = (leader.worker_in("s", "south"), leader.worker_in("n", "north"));
    (leader, south, north)
}

#[test]
fn no_task_starts_in_an_evacuated_zone() {
    let (mut leader, south, north) = with_two_zones();
    leader.evacuate("south");
    leader.submit(spec(vec![step(40)]));
    let starts = leader.take_starts();
    assert_eq!((on(&starts, south), on(&starts, north)), (0, ROOM));
    let joined = leader.worker_in("t", "south");
    assert_eq!(on(&leader.take_starts(), joined), 0, "a worker that joins gets none either");
    leader.evacuate("south");
    leader.advance(Duration::from_secs(1));
    assert_eq!(leader.take_starts(), [], "the same order again changes nothing");
}

#[test]
fn runs_that_have_begun_end_where_they_are() {
    let (mut leader, south, _) = with_two_zones();
    leader.submit(spec(vec![step(16)]));
    let starts = leader.take_starts();
    assert_eq!(on(&starts, south), ROOM);
    leader.orders.clear();
    leader.evacuate("south");
    leader.advance(Duration::from_millis(200));
    assert!(!leader.orders.iter().any(|order| matches!(order, Order::Stop { .. })));
}

#[test]
fn a_start_order_does_not_wait_for_longer_than_a_second() {
    let (mut leader, ..) = with_two_zones();
    leader.submit(spec(vec![step(16)]));
    leader.evacuate("south");
    let later = leader.now + Duration::from_millis(1_001);
    let starts = leader.orders.iter().filter(|order| matches!(order, Order::Start { .. }));
    let starts: Vec<&Order> = starts.collect();
    assert_eq!(starts.len(), 16);
    assert!(starts.iter().all(|order| order.has_expired(later)), "none is sent later");
}

#[test]
fn refused_and_unanswered_starts_are_repeated_in_other_zones() {
    for answer in [StartAnswer::Refused(Refusal::LeaseOver), StartAnswer::Unknown] {
        let mut leader = Leader::new();
        let south = leader.worker_in("s", "south");
        leader.submit(spec(vec![step(1)]));
        let start = leader.take_starts()[0];
        leader.evacuate("south");
        let north = leader.worker_in("n", "north");
        leader.started(&start, answer);
        // The worker reports that it does not have the run.
        let is_accepted = true;
        let stop = comfreymill_jobs::scheduler::Answer::Stop {
            task: start.task,
            run: start.run,
            is_accepted,
        };
        leader.scheduler.answered(leader.now, south, leader.now, stop);
        leader.advance(Duration::from_millis(10));
        leader.report(south, Report::default());
        leader.advance(Duration::from_millis(100));
        let again = leader.take_starts();
        assert_eq!(again.len(), 1, "{answer:?}");
        assert_eq!(again[0].worker, north, "{answer:?}");
    }
}

#[test]
fn a_new_leader_knows_a_committed_evacuation_and_no_other() {
    for is_committed in [false, true] {
        let (mut leader, south, north) = with_two_zones();
        if is_committed {
            leader.evacuate("south");
        }
        // All members have lost power: the next leader has only the snapshot.
        let data = leader.state.to_snapshot().expect("encoded");
        let mut state = State::from_snapshot(&data).expect("decoded");
        state.apply(500, Command::Lead);
        let mut leader = Leader::from_state(state, Monotonic::from_millis(50));
        for number in [south, north] {
            leader.report(number, Report::default());
        }
        leader.submit(spec(vec![step(16)]));
        leader.advance(Duration::from_millis(100));
        let starts = leader.take_starts();
        let expected = if is_committed { 0 } else { ROOM };
        assert_eq!((on(&starts, south), on(&starts, north)), (expected, ROOM));
    }
}

#[test]
fn an_order_that_could_not_be_proposed_is_left_to_its_sender() {
    let (mut leader, south, _) = with_two_zones();
    let orders = || leader.zone_order("south");
    let commands = vec![Command::Evacuate(orders()), Command::WithdrawEvacuation(orders())];
    leader.scheduler.commands_not_proposed(commands);
    assert_eq!(leader.scheduler.take_commands(), []);
    leader.submit(spec(vec![step(16)]));
    assert_eq!(on(&leader.take_starts(), south), ROOM);
}

#[test]
fn a_zone_that_is_lost_is_not_replaced_by_an_evacuated_one() {
    let mut leader = Leader::new();
    let south = leader.worker_in("s", "south");
    let (lost, north) = (leader.worker_in("l", "lost"), leader.worker_in("n", "north"));
    leader.evacuate("south");
    leader.submit(spec(vec![step(16)]));
    let mut starts = leader.take_starts();
    assert_eq!((on(&starts, lost), on(&starts, north)), (ROOM, ROOM));
    for start in &starts {
        leader.started(start, StartAnswer::Started);
    }
    starts.retain(|start| start.worker == north);
    leader.leaves_poll_unanswered(lost);
    for _ in 0..=LEASE.as_secs() {
        leader.advance(Duration::from_secs(1));
        leader.report(north, running(&starts));
        leader.report(south, Report::default());
    }
    assert_eq!(leader.take_starts(), [], "the tasks wait, since the rest is full");
    leader.report(north, Report::default());
    leader.advance(Duration::from_millis(100));
    let again = leader.take_starts();
    assert_eq!((on(&again, south), on(&again, north)), (0, ROOM));
}

#[test]
fn load_returns_in_steps() {
    let mut leader = Leader::new();
    let workers: Vec<_> = (0..8).map(|i| leader.worker_in(&format!("s{i}"), "south")).collect();
    leader.evacuate("south");
    leader.submit(spec(vec![step(64)]));
    assert_eq!(leader.take_starts(), []);
    leader.withdraw("south");
    let mut busy = vec![leader.take_starts().len()];
    // A worker that comes back as a new incarnation waits for the next step as well.
    let cold = leader.worker_in("s-cold", "south");
    assert_eq!(on(&leader.take_starts(), cold), 0);
    for _ in 0..2 {
        leader.advance(Duration::from_millis(750));
        busy.push(leader.take_starts().len());
    }
    assert_eq!(busy, [2 * ROOM, 3 * ROOM, 2 * ROOM], "a quarter of the workers at a time");
    leader.advance(Duration::from_millis(750));
    assert_eq!(leader.take_starts().len(), ROOM, "the last tasks");
    assert_eq!(leader.scheduler.zone_reports(), []);
    assert_eq!(workers.len(), 8);
}

#[test]
fn a_new_leader_makes_the_steps_of_a_recent_return_anew() {
    for (elapsed_ms, expected) in [(500, 2 * ROOM), (5_000, 8 * ROOM)] {
        let mut leader = Leader::new();
        let workers: Vec<_> = (0..8).map(|i| leader.worker_in(&format!("s{i}"), "south")).collect();
        leader.evacuate("south");
        leader.withdraw("south");
        leader.now = leader.now + Duration::from_millis(elapsed_ms);
        let mut leader = leader.into_next_leader();
        for number in workers {
            leader.report(number, Report::default());
        }
        leader.submit(spec(vec![step(64)]));
        leader.advance(Duration::from_millis(1));
        assert_eq!(leader.take_starts().len(), expected, "after {elapsed_ms} ms");
    }
}

#[test]
fn an_evacuation_during_a_return_closes_the_whole_zone() {
    let (mut leader, south, north) = with_two_zones();
    leader.evacuate("south");
    leader.withdraw("south");
    leader.evacuate("south");
    leader.advance(Duration::from_secs(4));
    leader.submit(spec(vec![step(16)]));
    let starts = leader.take_starts();
    assert_eq!((on(&starts, south), on(&starts, north)), (0, ROOM));
    let report = &leader.scheduler.zone_reports()[0];
    assert_eq!((report.closed, report.is_returning), (1, false));
}

#[test]
fn a_new_leader_knows_the_zone_that_a_worker_is_in_now() {
    let (mut leader, moved, other) = with_two_zones();
    let announcement = leader.announcement("s", 10);
    leader.announce(Announcement { zone: "north".to_owned(), ..announcement });
    leader.evacuate("north");
    leader.submit(spec(vec![step(4)]));
    assert_eq!(leader.take_starts(), []);
    let mut next = leader.into_next_leader();
    for number in [moved, other] {
        next.report(number, Report::default());
    }
    next.advance(Duration::from_millis(200));
    assert_eq!(next.take_starts(), []);
}
