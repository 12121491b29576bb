//! Runs of cancelled jobs are stopped, whatever becomes of the orders.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use comfreymill_jobs::id;
use comfreymill_jobs::scheduler::{Answer, Order, PollAnswer, StartAnswer};
use comfreymill_jobs::state::Command;
use comfreymill_jobs::worker::{EndKind, Report};

use crate::support::{KEY, Leader, Start, ended, running, spec, step};

const TICK: Duration = Duration::from_millis(20);
/// Time from the acknowledgement of a cancellation to the stops.
const CANCEL: Duration = Duration::from_secs(3);
/// Maximum time to connect to a worker and wait for its answer.
const MAX_ORDER: Duration = Duration::from_millis(1_400);

/// Returns a leader that has cancelled a job with one run, and the run.
fn with_cancelled_run() -> (Leader, Start) {
    let mut leader = Leader::new();
    leader.worker("w");
    leader.submit(spec(vec![step(1)]));
    let start = leader.take_starts()[0];
    leader.started(&start, StartAnswer::Started);
    leader.commit(vec![Command::Cancel { job: KEY }]);
    leader.settle();
    assert_eq!(take_stops(&mut leader, &start), 1);
    (leader, start)
}

/// Takes all orders so far and returns how many of them stop the run.
fn take_stops(leader: &mut Leader, start: &Start) -> usize {
    let orders = std::mem::take(&mut leader.orders);
    let stops = orders.iter().filter(|order| {
        matches!(order, Order::Stop { worker, task, run }
            if (*worker, *task, *run) == (start.worker, start.task, start.run))
    });
    stops.count()
}

fn answer_stop(leader: &mut Leader, start: &Start, is_accepted: bool) {
    let Start { worker, task, run } = *start;
    let answer = Answer::Stop { task, run, is_accepted };
    leader.scheduler.answered(leader.now, worker, leader.now, answer);
    leader.settle();
}

fn advance(leader: &mut Leader, span: Duration) {
    let end = leader.now + span;
    while leader.now < end {
        leader.advance(TICK);
    }
}

/// A worker accepted a stop without effect, and the run went on until its lease ended.
#[test]
fn a_run_that_goes_on_after_its_stop_was_accepted_is_stopped_again() {
    let (mut leader, start) = with_cancelled_run();
    answer_stop(&mut leader, &start, true);
    // A worker may take some time to stop a run, so the first reports prove nothing.
    advance(&mut leader, Duration::from_millis(400));
    leader.report(start.worker, running(&[start]));
    assert_eq!(take_stops(&mut leader, &start), 0);
    advance(&mut leader, Duration::from_millis(600));
    leader.report(start.worker, running(&[start]));
    assert_eq!(take_stops(&mut leader, &start), 1);
    leader.report(start.worker, running(&[start]));
    assert_eq!(take_stops(&mut leader, &start), 0, "the order is on its way");
    // The run keeps its room until a report requested after the acceptance does not show it.
    leader.submit_as(2, spec(vec![step(8)]));
    assert_eq!(leader.take_starts().len(), 7);
    answer_stop(&mut leader, &start, true);
    leader.report(start.worker, ended(vec![start.end(1, EndKind::Stopped)]));
    assert_eq!(leader.take_starts().len(), 1);
}

/// Stops waited behind others of the same run in the queue of a worker that answered slowly.
#[test]
fn a_stop_is_not_sent_again_before_its_answer_unless_that_takes_long() {
    let (mut leader, start) = with_cancelled_run();
    advance(&mut leader, Duration::from_millis(1_900));
    assert_eq!(take_stops(&mut leader, &start), 0, "the first order is still on its way");
    advance(&mut leader, Duration::from_millis(200));
    assert_eq!(take_stops(&mut leader, &start), 1, "its answer is lost");
    answer_stop(&mut leader, &start, false);
    advance(&mut leader, Duration::from_millis(280));
    assert_eq!(take_stops(&mut leader, &start), 0);
    advance(&mut leader, Duration::from_millis(20));
    assert_eq!(take_stops(&mut leader, &start), 1, "it was refused, or did not arrive");
}

/// A worker that refused polls, or whose reports could not be read, got one stop and no more.
#[test]
fn a_stop_that_was_refused_is_sent_again_while_polls_fail() {
    let (mut leader, start) = with_cancelled_run();
    leader.leaves_poll_unanswered(start.worker);
    answer_stop(&mut leader, &start, false);
    advance(&mut leader, Duration::from_millis(420));
    assert_eq!(take_stops(&mut leader, &start), 1);
}

/// A worker that did not answer once held its next answer back, although it had news.
#[test]
fn a_worker_that_did_not_answer_is_asked_for_its_report_at_once() {
    let (mut leader, start) = with_cancelled_run();
    leader.leaves_poll_unanswered(start.worker);
    leader.orders.clear();
    advance(&mut leader, Duration::from_millis(300));
    let is_hold = |order: &Order| matches!(order, Order::Poll { wait, .. } if !wait.is_zero());
    let polls = leader.orders.iter().filter(|order| matches!(order, Order::Poll { .. }));
    assert_eq!(polls.count(), 1);
    assert!(!leader.orders.iter().any(is_hold));
}

/// The next leader learns of runs of cancelled jobs from reports only, worker by worker.
#[test]
fn the_next_leader_stops_the_runs_of_cancelled_jobs_on_890_workers_in_time() {
    const WORKERS: u16 = 890;
    for (is_cancelled_before, silent) in [(true, 8), (false, 0)] {
        let mut leader = Leader::new();
        for number in 0..WORKERS {
            let mut announcement = leader.announcement(&format!("w{number}"), 10);
            let [high, low] = number.to_be_bytes();
            announcement.address = ([10, 1, high, low], 80).into();
            leader.announce(announcement);
            let worker = *leader.state.get_workers().last_key_value().expect("a worker").0;
            leader.report(worker, Report::default());
        }
        let mut apart = step(WORKERS);
        apart.max_per_worker = Some(1);
        leader.submit(spec(vec![apart]));
        let starts: BTreeMap<id::WorkerNumber, Start> =
            leader.take_starts().into_iter().map(|start| (start.worker, start)).collect();
        assert_eq!(starts.len(), usize::from(WORKERS));
        if is_cancelled_before {
            leader.commit(vec![Command::Cancel { job: KEY }]);
        }
        let mut leader = leader.into_next_leader();
        let began = leader.now;
        if !is_cancelled_before {
            leader.commit(vec![Command::Cancel { job: KEY }]);
        }
        // Workers answer the polls of one tick in the next; the last ones leave their first poll
        // unanswered.
        let mut unanswered: BTreeSet<_> = starts.keys().rev().take(silent).copied().collect();
        let mut answers = BTreeSet::new();
        let mut stopped = BTreeSet::new();
        while stopped.len() < starts.len() {
            leader.advance(TICK);
            assert!(leader.now.since(began) < CANCEL, "{} runs are stopped", stopped.len());
            for order in std::mem::take(&mut leader.orders) {
                match order {
                    Order::Poll { worker, .. } if unanswered.remove(&worker) => {
                        answers.insert((leader.now + MAX_ORDER, worker, false));
                    }
                    Order::Poll { worker, .. } => {
                        answers.insert((leader.now, worker, true));
                    }
                    Order::Stop { worker, task, run } => {
                        assert_eq!(Start { worker, task, run }, starts[&worker]);
                        stopped.insert(worker);
                    }
                    _ => panic!("{order:?}"),
                }
            }
            while let Some(&(at, worker, is_answered)) = answers.first()
                && at <= leader.now
            {
                answers.pop_first();
                if is_answered {
                    leader.report(worker, running(&[starts[&worker]]));
                } else {
                    leader.leaves_poll_unanswered(worker);
                }
            }
        }
    }
}

/// Room stayed reserved for a run that was stopped before its start was sent, until a poll that was
/// held for its end ran out of time.
#[test]
fn a_run_that_is_stopped_before_its_start_was_answered_is_not_waited_for() {
    let mut leader = Leader::new();
    leader.worker("w");
    leader.submit(spec(vec![step(2)]));
    let starts = leader.take_starts();
    leader.started(&starts[0], StartAnswer::Started);
    leader.report(starts[0].worker, running(&[starts[0]]));
    let (task, run) = (starts[1].task, starts[1].run);
    leader.commit(vec![Command::Cancel { job: KEY }]);
    let answer = Answer::Start { task, run, answer: StartAnswer::NotSent, clock_ms: None };
    leader.scheduler.answered(leader.now, starts[1].worker, leader.now, answer);
    let asked_at = leader.now;
    advance(&mut leader, TICK);
    answer_stop(&mut leader, &starts[1], true);
    leader.orders.clear();
    // The report was asked for before the stop was accepted, so it does not show whether the run is
    // gone.
    let report = Answer::Poll(PollAnswer::Report(running(&[starts[0]])));
    leader.scheduler.answered(leader.now, starts[0].worker, asked_at, report);
    advance(&mut leader, TICK);
    let polls = leader.orders.iter().filter_map(|order| match order {
        Order::Poll { wait, .. } => Some(*wait),
        _ => None,
    });
    assert_eq!(polls.collect::<Vec<_>>(), [Duration::ZERO]);
}
