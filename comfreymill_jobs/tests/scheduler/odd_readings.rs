//! Readings of workers' clocks that cannot be right give no lease beyond the usual one.

use std::time::Duration;

use comfreymill_jobs::id::WorkerNumber;
use comfreymill_jobs::scheduler::{Answer, Order, PollAnswer, StartAnswer};
use comfreymill_jobs::worker::Report;

use crate::support::{LEASE, Leader, Start, running, spec, step};

/// Readings beyond what a worker's clock can have counted, or beyond what passed since the last one.
const ODD_READINGS: [u64; 5] = [u64::MAX, u64::MAX - 6_000, 1 << 63, 3_000_000_000_000, 100_000];

/// Answers a poll that was sent just now, with any reading of the worker's clock.
fn answer_poll(leader: &mut Leader, worker: WorkerNumber, clock_ms: u64, report: Report) {
    let answer = PollAnswer::Report(Report { clock_ms: Some(clock_ms), ..report });
    leader.scheduler.answered(leader.now, worker, leader.now, Answer::Poll(answer));
    leader.settle();
}

/// Returns what the clocks of the simulated workers show.
fn true_clock(leader: &Leader) -> u64 {
    5_000 + leader.now.as_micros() / 1_000
}

/// Returns the latest end of a lease in the orders so far, on the workers' clocks.
fn last_lease_end(leader: &Leader) -> u64 {
    let ends = leader.orders.iter().filter_map(|order| match order {
        Order::Start { lease_until_ms, .. } => Some(*lease_until_ms),
        Order::Poll { lease_until_ms, .. } => *lease_until_ms,
        _ => None,
    });
    ends.max().expect("an order that grants a lease")
}

fn assert_usual_lease(leader: &Leader, context: &str) {
    let longest = true_clock(leader) + LEASE.as_millis() as u64;
    let end = last_lease_end(leader);
    assert!(end <= longest, "{context}: a lease ends at {end}, at most {longest}");
}

fn with_run() -> (Leader, Start) {
    let mut leader = Leader::new();
    leader.worker("w");
    leader.submit(spec(vec![step(1)]));
    let start = leader.take_starts()[0];
    leader.started(&start, StartAnswer::Started);
    (leader, start)
}

/// A heartbeat of another writer had a reading near the largest number: the end of the next lease
/// was computed past it.
#[test]
fn the_reading_in_an_announcement_gives_no_lease_without_end() {
    for clock_ms in ODD_READINGS {
        let (mut leader, start) = with_run();
        let odd = leader.announcement("w", 10);
        leader.announce(comfreymill_jobs::worker::Announcement { clock_ms: Some(clock_ms), ..odd });
        leader.report(start.worker, running(&[start]));
        assert_usual_lease(&leader, &format!("reading {clock_ms}"));
    }
}

#[test]
fn one_odd_reading_in_an_answer_gives_no_lease_without_end() {
    for clock_ms in ODD_READINGS {
        let (mut leader, start) = with_run();
        answer_poll(&mut leader, start.worker, clock_ms, running(&[start]));
        let (task, run, answer) = (start.task, start.run, StartAnswer::Started);
        let started = Answer::Start { task, run, answer, clock_ms: Some(clock_ms) };
        leader.scheduler.answered(leader.now, start.worker, leader.now, started);
        leader.advance(Duration::from_millis(100));
        leader.report(start.worker, running(&[start]));
        assert_usual_lease(&leader, &format!("reading {clock_ms}"));
    }
}

/// The first reading that a leader gets is the odd one.
#[test]
fn an_odd_first_reading_gives_way_to_those_that_follow() {
    for clock_ms in [0, 100_000, 3_000_000_000_000, u64::MAX] {
        let (mut leader, start) = with_run();
        leader = leader.into_next_leader();
        answer_poll(&mut leader, start.worker, clock_ms, running(&[start]));
        for _ in 0..2 {
            leader.advance(Duration::from_millis(500));
            leader.report(start.worker, running(&[start]));
        }
        leader.orders.clear();
        leader.advance(Duration::from_millis(500));
        leader.report(start.worker, running(&[start]));
        assert_usual_lease(&leader, &format!("first reading {clock_ms}"));
        let least = true_clock(&leader) + LEASE.as_millis() as u64 - 100;
        assert!(last_lease_end(&leader) >= least, "first reading {clock_ms}: too short a lease");
    }
}

/// A clock that runs 2% slow, and answers that were on their way for long, are no odd readings.
#[test]
fn readings_of_a_slow_clock_and_late_answers_are_used() {
    let (mut leader, start) = with_run();
    let begin = (true_clock(&leader), leader.now);
    for round in 0..20_u64 {
        let asked_at = leader.now;
        leader.advance(Duration::from_millis(300 + 100 * (round % 12)));
        // The reading was taken at any time between the poll and its answer.
        let taken_at = if round % 2 == 0 { asked_at } else { leader.now };
        let passed = taken_at.since(begin.1).mul_f64(0.98).as_millis() as u64;
        let report = Report { clock_ms: Some(begin.0 + passed), ..running(&[start]) };
        let answer = Answer::Poll(PollAnswer::Report(report));
        leader.orders.clear();
        leader.scheduler.answered(leader.now, start.worker, asked_at, answer);
        leader.settle();
        let end = last_lease_end(&leader);
        assert!(end >= begin.0 + passed + LEASE.as_millis() as u64, "round {round}: {end}");
    }
}

/// Of two answers that were in flight together, the one with the earlier reading arrived last; their
/// times differed by less than the readings show.
#[test]
fn answers_that_overtake_each_other_are_used() {
    let (mut leader, start) = with_run();
    let first = leader.now;
    let at = |micros: u64| first + Duration::from_micros(micros);
    // Readings taken at 3.00 ms and at 2.95 ms, in answers received at 3.05 ms and at 3.10 ms.
    let begin = true_clock(&leader);
    for (taken, asked, received) in [(3_000, 0, 3_050), (2_950, 2_900, 3_100)] {
        let answer = PollAnswer::Report(Report {
            clock_ms: Some(begin + taken / 1_000),
            ..running(&[start])
        });
        leader.scheduler.answered(at(received), start.worker, at(asked), Answer::Poll(answer));
        leader.settle();
    }
    // The next reading that contradicts would replace the others if the last one had been doubted.
    let odd = Some(begin + 2);
    let answer = PollAnswer::Report(Report { clock_ms: odd, ..running(&[start]) });
    leader.orders.clear();
    leader.scheduler.answered(at(3_900), start.worker, at(3_500), Answer::Poll(answer));
    leader.settle();
    let least = begin + 3 + LEASE.as_millis() as u64;
    assert!(last_lease_end(&leader) >= least, "{} < {least}", last_lease_end(&leader));
}
