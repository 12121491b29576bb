//! A worker that starts again under its name may have runs that were meant for its earlier
//! incarnation.

use std::time::Duration;

use comfreymill_jobs::id::WorkerNumber;
use comfreymill_jobs::scheduler::{Answer, Config, Order, PollAnswer, StartAnswer};
use comfreymill_jobs::state::JobStatus;
use comfreymill_jobs::worker::{EndKind, Report};

use crate::support::{KEY, LEASE, Leader, Start, ended, running, spec, step};

/// Start of life of the second incarnation.
const REBORN: u64 = 11;

/// Returns a leader that has started a task on the worker "w" and has another worker with room.
fn one_started(answer: Option<StartAnswer>) -> (Leader, Start) {
    one_started_by(Leader::new(), answer)
}

fn one_started_by(mut leader: Leader, answer: Option<StartAnswer>) -> (Leader, Start) {
    leader.worker("w");
    leader.submit(spec(vec![step(1)]));
    let start = leader.take_starts()[0];
    leader.worker("other");
    if let Some(answer) = answer {
        leader.started(&start, answer);
    }
    leader.advance(Duration::from_millis(10));
    (leader, start)
}

/// Answers a poll of the worker's first incarnation with a report of the second one.
fn second_answers_for_first(leader: &mut Leader, first: WorkerNumber, report: Report) {
    leader.report(first, Report { born_unix_ms: Some(REBORN), ..report });
}

/// Registers the second incarnation; returns its number.
fn register_second(leader: &mut Leader) -> WorkerNumber {
    let announcement = leader.announcement("w", REBORN);
    leader.announce(announcement);
    *leader.state.get_workers().last_key_value().expect("a worker").0
}

/// Returns the end up to which the latest poll of a worker lets it forget its ends.
fn forgotten(leader: &Leader, worker: WorkerNumber) -> u64 {
    let polls = leader.orders.iter().filter_map(|order| match order {
        Order::Poll { worker: polled, noted, .. } if *polled == worker => Some(*noted),
        _ => None,
    });
    polls.collect::<Vec<u64>>().pop().expect("a poll of the worker")
}

/// Accepts a start; the worker's clock has counted from `clock_began_at`.
fn accept_with_clock(leader: &mut Leader, start: &Start, clock_began_at: Duration) {
    let Start { worker, task, run } = *start;
    let since = Duration::from_micros(leader.now.as_micros()) - clock_began_at;
    let clock_ms = Some(u64::try_from(since.as_millis()).expect("a small number"));
    let answer = Answer::Start { task, run, answer: StartAnswer::Started, clock_ms };
    leader.scheduler.answered(leader.now, worker, leader.now, answer);
    leader.settle();
}

fn assert_not_started_again(leader: &mut Leader, when: &str) {
    leader.advance(Duration::from_millis(200));
    assert_eq!(leader.take_starts(), [], "{when}");
}

/// The case that the review found: the task was done on the second incarnation, and was started again
/// elsewhere once its report was taken for the loss of the first one.
#[test]
fn a_run_of_an_incarnation_that_is_not_registered_yet_is_not_started_again() {
    for is_over in [false, true] {
        let (mut leader, start) = one_started(Some(StartAnswer::Started));
        let end = || ended(vec![start.end(1, EndKind::Done)]);
        let report = || if is_over { end() } else { running(&[start]) };
        second_answers_for_first(&mut leader, start.worker, report());
        assert_not_started_again(&mut leader, "before the second incarnation is registered");
        let second = register_second(&mut leader);
        assert_eq!(forgotten(&leader, second), 0);
        assert_not_started_again(&mut leader, "before its first report");
        leader.report(second, report());
        assert_not_started_again(&mut leader, "after its first report");
        assert_eq!(leader.state.get_workers().len(), 2, "the first incarnation is gone");
        leader.report(second, end());
        assert_eq!(leader.state.get_jobs()[&KEY].status, JobStatus::Completed);
        assert_not_started_again(&mut leader, "after the end");
    }
}

#[test]
fn a_run_that_the_next_incarnation_does_not_have_is_started_again_at_its_first_report() {
    let (mut leader, start) = one_started(Some(StartAnswer::Started));
    let second = register_second(&mut leader);
    assert_not_started_again(&mut leader, "the second incarnation may have it");
    leader.report(second, Report::default());
    let starts = leader.take_starts();
    assert_eq!(starts.iter().map(|start| start.task).collect::<Vec<_>>(), [start.task]);
}

/// The ends of an incarnation are numbered anew: the second one would have forgotten that a run was
/// done up to the number that the first one may forget.
#[test]
fn no_end_is_forgotten_before_a_report_has_confirmed_the_runs_started_since() {
    let (mut leader, start) = one_started(Some(StartAnswer::Started));
    let worker = start.worker;
    leader.report(worker, ended(vec![start.end(1, EndKind::Done)]));
    leader.report(worker, Report::default());
    assert_eq!(forgotten(&leader, worker), 1);
    leader.submit_as(7, spec(vec![step(16)]));
    let mut starts = leader.take_starts();
    starts.retain(|start| start.worker == worker);
    leader.advance(Duration::from_secs(5));
    assert_eq!(forgotten(&leader, worker), 0, "the next incarnation may have {starts:?}");
    for start in &starts {
        leader.started(start, StartAnswer::Started);
    }
    leader.report(worker, running(&starts));
    assert_eq!(forgotten(&leader, worker), 1, "all runs are confirmed");
}

/// Polls were repeated without a pause as long as an end was noted and a start was not answered.
#[test]
fn a_worker_that_may_not_forget_its_ends_yet_is_not_polled_without_pause() {
    let (mut leader, start) = one_started(Some(StartAnswer::Started));
    let worker = start.worker;
    leader.submit_as(7, spec(vec![step(16)]));
    let end = || start.end(1, EndKind::Done);
    leader.report(worker, ended(vec![end()]));
    let is_poll =
        |order: &Order| matches!(order, Order::Poll { worker: polled, .. } if *polled == worker);
    leader.orders.clear();
    leader.report(worker, ended(vec![end()]));
    assert!(!leader.orders.iter().any(is_poll), "polled again at once");
    leader.advance(Duration::from_millis(50));
    assert!(leader.orders.iter().any(is_poll));
}

/// An order to start that has no answer may be carried out by the second incarnation later.
#[test]
fn an_unanswered_start_is_stopped_on_the_next_incarnation() {
    for answer in [None, Some(StartAnswer::Unknown)] {
        let (mut leader, start) = one_started(answer);
        let Start { task, run, worker } = start;
        if answer.is_some() {
            // The first incarnation accepts the stop and ends.
            let answer = Answer::Stop { task, run, is_accepted: true };
            leader.scheduler.answered(leader.now, worker, leader.now, answer);
            leader.settle();
        }
        second_answers_for_first(&mut leader, worker, Report::default());
        let second = register_second(&mut leader);
        leader.orders.clear();
        leader.report(second, Report::default());
        let stop = Order::Stop { worker: second, task, run };
        assert!(leader.orders.contains(&stop), "{answer:?}");
        leader.report(second, Report::default());
        assert_not_started_again(&mut leader, "the start may still be carried out");
        let accepted = Answer::Stop { task, run, is_accepted: true };
        leader.scheduler.answered(leader.now, second, leader.now, accepted);
        leader.report(second, Report::default());
        assert_eq!(leader.take_starts().len(), 1, "{answer:?}");
    }
}

/// A start that reached the second incarnation was accepted after its first report was requested.
#[test]
fn a_report_from_before_the_acceptance_of_a_start_does_not_show_that_it_is_lost() {
    let (mut leader, start) = one_started(None);
    let second = register_second(&mut leader);
    let asked_at = leader.now;
    leader.advance(Duration::from_millis(5));
    leader.started(&start, StartAnswer::Started);
    let answer = Answer::Poll(PollAnswer::Report(Report::default()));
    leader.scheduler.answered(leader.now, second, asked_at, answer);
    leader.settle();
    assert_not_started_again(&mut leader, "the second incarnation may have it");
    leader.report(second, running(&[start]));
    assert_not_started_again(&mut leader, "it has it");
}

#[test]
fn runs_wait_for_the_lease_if_the_next_incarnation_is_never_registered() {
    let (mut leader, start) = one_started(Some(StartAnswer::Started));
    second_answers_for_first(&mut leader, start.worker, running(&[start]));
    leader.advance(LEASE);
    second_answers_for_first(&mut leader, start.worker, running(&[start]));
    assert_eq!(leader.take_starts(), [], "a clock may be slow");
    leader.advance(LEASE / 10);
    assert_eq!(leader.take_starts().len(), 1);
}

/// The next leader knew the first incarnation only, and took it for gone.
#[test]
fn the_next_leader_waits_for_the_runs_of_an_incarnation_that_is_not_registered() {
    for is_answered_first in [false, true] {
        let (leader, start) = one_started(Some(StartAnswer::Started));
        let mut leader = leader.into_next_leader();
        leader.settle();
        leader.worker_reports_nothing("other");
        let end = || ended(vec![start.end(1, EndKind::Done)]);
        if is_answered_first {
            second_answers_for_first(&mut leader, start.worker, end());
        }
        assert_not_started_again(&mut leader, "the second incarnation is not registered");
        let second = register_second(&mut leader);
        assert_not_started_again(&mut leader, "its runs are not known");
        leader.holds_commits = true;
        leader.report(second, end());
        assert_not_started_again(&mut leader, "the end is not in the log");
        leader.release_commits();
        assert_not_started_again(&mut leader, "it is done");
        assert_eq!(leader.state.get_jobs()[&KEY].status, JobStatus::Completed);
    }
}

#[test]
fn a_new_leader_lets_no_end_be_forgotten_before_the_first_report() {
    let (mut leader, start) = one_started(Some(StartAnswer::Started));
    leader.report(start.worker, ended(vec![start.end(1, EndKind::Failed)]));
    assert_eq!(leader.state.get_workers()[&start.worker].noted, 1);
    let mut leader = leader.into_next_leader();
    leader.advance(Duration::from_millis(1));
    assert_eq!(forgotten(&leader, start.worker), 0);
    leader.report(start.worker, Report::default());
    leader.advance(Duration::from_secs(5));
    assert_eq!(forgotten(&leader, start.worker), 1);
}

/// A clock begins anew with each incarnation, so one that goes on is the first incarnation's.
#[test]
fn a_start_that_is_answered_with_the_known_clock_needs_no_report() {
    let mut leader = Leader::new();
    leader.advance(Duration::from_secs(60));
    let (mut leader, start) = one_started_by(leader, None);
    // The clocks of the test's workers are 5 s ahead.
    let Start { worker, task, run } = start;
    let clock_ms = Some(5_000 + leader.now.as_micros() / 1_000);
    let answer = Answer::Start { task, run, answer: StartAnswer::Started, clock_ms };
    leader.scheduler.answered(leader.now, worker, leader.now, answer);
    register_second(&mut leader);
    assert_eq!(leader.take_starts().len(), 1, "the run was lost with the first incarnation");
}

#[test]
fn a_worker_whose_clock_has_begun_anew_is_asked_before_it_is_used_again() {
    let mut leader = Leader::new();
    leader.advance(Duration::from_secs(60));
    let (mut leader, start) = one_started_by(leader, None);
    leader.report(start.worker, Report::default());
    leader.orders.clear();
    let began_at = Duration::from_micros(leader.now.as_micros()) - Duration::from_millis(3);
    accept_with_clock(&mut leader, &start, began_at);
    leader.submit_as(7, spec(vec![step(16)]));
    let later = leader.take_starts();
    assert_eq!(later.len(), 8, "the other worker has room for these");
    assert!(later.iter().all(|later| later.worker != start.worker));
    second_answers_for_first(&mut leader, start.worker, running(&[start]));
    let second = register_second(&mut leader);
    leader.report(second, ended(vec![start.end(1, EndKind::Done)]));
    assert_eq!(leader.state.get_jobs()[&KEY].status, JobStatus::Completed);
}

/// The second reading of the new clock agrees with the first one, which is no proof either.
#[test]
fn two_starts_that_are_answered_with_a_new_clock_confirm_nothing() {
    let mut leader = Leader::new();
    leader.advance(Duration::from_secs(60));
    leader.worker("w");
    leader.submit(spec(vec![step(2)]));
    let starts = leader.take_starts();
    let began_at = Duration::from_micros(leader.now.as_micros()) - Duration::from_millis(3);
    for start in &starts {
        accept_with_clock(&mut leader, start, began_at);
        leader.advance(Duration::from_millis(5));
    }
    leader.worker("other");
    let second = register_second(&mut leader);
    assert_not_started_again(&mut leader, "the second incarnation may have both");
    leader.report(second, running(&starts));
    assert_not_started_again(&mut leader, "it has both");
}

/// The next incarnation's clock has begun anew, so that the end of the lease in a start lies far ahead
/// on it, and the worker shortens the lease to the longest that it grants.
#[test]
fn unconfirmed_runs_wait_for_the_longest_lease_once_another_incarnation_has_answered() {
    let leader = Leader::with_config(Config::new(LEASE).max_lease(2 * LEASE));
    let (mut leader, start) = one_started_by(leader, Some(StartAnswer::Started));
    second_answers_for_first(&mut leader, start.worker, running(&[start]));
    leader.advance(2 * LEASE);
    second_answers_for_first(&mut leader, start.worker, Report::default());
    assert_eq!(leader.take_starts(), [], "a clock may be slow");
    leader.advance(LEASE / 4);
    assert_eq!(leader.take_starts().len(), 1);
}

/// A task that crashes its worker before the start is answered was started without end.
#[test]
fn a_crash_counts_for_a_start_that_was_not_answered() {
    let (mut leader, start) = one_started(None);
    let second = register_second(&mut leader);
    leader.report(second, Report::default());
    assert_eq!(leader.state.get_crashes(start.task).crashes, 1);
}

/// The answer to a start came while the crash of the earlier incarnation was being committed.
#[test]
fn a_start_that_is_answered_after_the_first_report_is_not_lost_with_the_crash() {
    let (mut leader, start) = one_started(None);
    let second = register_second(&mut leader);
    leader.holds_commits = true;
    leader.report(second, Report::default());
    leader.advance(Duration::from_millis(5));
    leader.started(&start, StartAnswer::Started);
    leader.release_commits();
    assert_not_started_again(&mut leader, "the second incarnation has it");
    leader.report(second, running(&[start]));
    assert_not_started_again(&mut leader, "it shows it");
    leader.report(second, ended(vec![start.end(1, EndKind::Done)]));
    assert_eq!(leader.state.get_jobs()[&KEY].status, JobStatus::Completed);
}
