//! A task is started again only when its previous run is known to have ended.

use std::time::Duration;

use comfreymill_jobs::scheduler::{Answer, Order, PollAnswer, Refusal, StartAnswer};
use comfreymill_jobs::worker::{EndKind, Report};

use crate::support::{LEASE, Leader, Start, ended, running, spec, step};

fn one_started() -> (Leader, Start) {
    let mut leader = Leader::new();
    leader.worker("first");
    leader.submit(spec(vec![step(1)]));
    let start = leader.take_starts()[0];
    leader.worker("other");
    (leader, start)
}

fn leave_poll_unanswered(leader: &mut Leader, start: &Start) {
    let answer = Answer::Poll(PollAnswer::NoAnswer);
    leader.scheduler.answered(leader.now, start.worker, leader.now, answer);
    leader.settle();
}

#[test]
fn an_unanswered_start_is_stopped_and_not_repeated_before_a_report_shows_no_run() {
    let (mut leader, start) = one_started();
    leader.started(&start, StartAnswer::Unknown);
    let stop = |order: &Order| matches!(order, Order::Stop { task, .. } if *task == start.task);
    assert!(leader.orders.iter().any(stop));
    // The report was requested before the stop was accepted, so it proves nothing.
    leader.report(start.worker, Report::default());
    assert!(leader.take_starts().is_empty());
    let Start { task, run, worker } = start;
    let answer = Answer::Stop { task, run, is_accepted: true };
    leader.scheduler.answered(leader.now, worker, leader.now, answer);
    leader.settle();
    assert!(leader.take_starts().is_empty());
    leader.report(worker, Report::default());
    let starts = leader.take_starts();
    assert_eq!(starts.len(), 1);
    assert!(starts[0].run > run, "runs rise");
}

#[test]
fn a_refused_start_goes_elsewhere_at_once() {
    let (mut leader, start) = one_started();
    leader.started(&start, StartAnswer::Refused(Refusal::NoRoom));
    let starts = leader.take_starts();
    assert_eq!(starts.len(), 1);
    assert_ne!(starts[0].worker, start.worker);
}

#[test]
fn an_unresponsive_workers_task_waits_for_the_end_of_its_lease_on_a_slow_clock() {
    let (mut leader, start) = one_started();
    leader.started(&start, StartAnswer::Started);
    leave_poll_unanswered(&mut leader, &start);
    leader.advance(LEASE);
    assert!(leader.take_starts().is_empty(), "the worker's clock may be 2% slow");
    leader.advance(LEASE / 40);
    let starts = leader.take_starts();
    assert_eq!(starts.len(), 1);
    assert_ne!(starts[0].worker, start.worker);
}

#[test]
fn a_later_incarnation_ends_the_runs_of_the_previous_one() {
    let (mut leader, start) = one_started();
    leader.started(&start, StartAnswer::Started);
    leader.report(start.worker, running(&[start]));
    let later = leader.announcement("first", 11);
    leader.announce(later);
    leader.settle();
    assert_eq!(leader.take_starts().len(), 1);
}

#[test]
fn an_announcement_of_an_older_incarnation_is_ignored() {
    let (mut leader, start) = one_started();
    leader.started(&start, StartAnswer::Started);
    let older = leader.announcement("first", 9);
    leader.announce(older);
    leader.settle();
    assert!(leader.take_starts().is_empty());
    assert_eq!(leader.state.get_workers().len(), 2);
}

#[test]
fn a_task_that_a_lost_worker_reported_as_done_is_not_started_again() {
    let (mut leader, start) = one_started();
    leader.started(&start, StartAnswer::Started);
    leader.holds_commits = true;
    leader.report(start.worker, ended(vec![start.end(1, EndKind::Done)]));
    leader.scheduler.answered(leader.now, start.worker, leader.now, Answer::WorkerGone);
    leader.settle();
    leader.advance(LEASE * 2);
    assert!(leader.take_starts().is_empty());
    leader.release_commits();
    assert!(leader.take_starts().is_empty());
}

#[test]
fn no_orders_are_given_once_a_worker_follows_a_later_leader() {
    let (mut leader, start) = one_started();
    leader.started(&start, StartAnswer::Refused(Refusal::Fenced));
    leader.orders.clear();
    leader.advance(LEASE * 2);
    assert!(leader.orders.is_empty());
    assert!(leader.scheduler.is_fenced());
}

#[test]
fn a_long_running_task_is_started_again_however_it_ends() {
    let mut leader = Leader::new();
    let worker = leader.worker("w");
    let mut long_running = step(1);
    long_running.is_long_running = true;
    leader.submit(spec(vec![long_running]));
    for (number, kind) in (1..).zip([EndKind::Failed, EndKind::Failed, EndKind::Lapsed]) {
        let start = leader.take_starts()[0];
        leader.started(&start, StartAnswer::Started);
        leader.report(worker, running(&[start]));
        leader.report(worker, ended(vec![start.end(number, kind)]));
        leader.advance(Duration::from_secs(5));
    }
    assert_eq!(leader.take_starts().len(), 1);
}

/// A cut that resets connections made a worker that was running on count as gone, and its tasks ran
/// twice.
#[test]
fn tasks_of_a_worker_that_refuses_connections_wait_for_the_end_of_its_lease() {
    let (mut leader, start) = one_started();
    leader.started(&start, StartAnswer::Started);
    let refuse = |leader: &mut Leader| {
        let answer = Answer::Poll(PollAnswer::Unreachable);
        leader.scheduler.answered(leader.now, start.worker, leader.now, answer);
        leader.settle();
    };
    refuse(&mut leader);
    leader.advance(LEASE);
    refuse(&mut leader);
    assert!(leader.take_starts().is_empty(), "the worker's clock may be 2% slow");
    leader.advance(LEASE / 10);
    refuse(&mut leader);
    assert_eq!(leader.take_starts().len(), 1);
    let is_known = leader.state.get_workers().contains_key(&start.worker);
    assert!(!is_known, "nothing can run there any more");
}
