//! Rows of a report that cannot be read, or cannot be right, leave the other rows valid.

use std::time::Duration;

use comfreymill_jobs::id::{StepId, WorkerNumber};
use comfreymill_jobs::job::StepSpec;
use comfreymill_jobs::scheduler::{Order, StartAnswer};
use comfreymill_jobs::worker::{End, EndKind, Report, Unread};

use crate::support::{KEY, Leader, Start, ended, running, spec, step};

/// Returns a leader with three runs on one worker, and with another worker that has room.
fn with_runs() -> (Leader, WorkerNumber, Vec<Start>) {
    let mut leader = Leader::new();
    let worker = leader.worker("w");
    leader.submit(spec(vec![step(3)]));
    let starts = start_all(&mut leader);
    leader.worker("other");
    leader.advance(Duration::from_millis(300));
    (leader, worker, starts)
}

/// Accepts the starts that were ordered, and returns them.
fn start_all(leader: &mut Leader) -> Vec<Start> {
    let starts = leader.take_starts();
    for start in &starts {
        leader.started(start, StartAnswer::Started);
    }
    starts
}

/// Returns a report with readable ends, and with the numbers of ends that cannot be read.
fn with_unread_ends(ends: Vec<End>, numbers: &[u64]) -> Report {
    let unread = Unread { ends: numbers.to_vec(), ..Unread::default() };
    Report { unread, ..ended(ends) }
}

/// Returns the number of the last end that the latest poll of a worker lets it forget.
fn last_noted(leader: &Leader, worker: WorkerNumber) -> u64 {
    let mut polls = leader.orders.iter().filter_map(|order| match order {
        Order::Poll { worker: polled, noted, .. } if *polled == worker => Some(*noted),
        _ => None,
    });
    polls.next_back().expect("a poll of the worker")
}

#[test]
fn an_end_that_cannot_be_read_once_is_asked_for_again() {
    let (mut leader, worker, starts) = with_runs();
    let end = |index: usize| starts[index].end(index as u64 + 1, EndKind::Done);
    for ends in [vec![end(0), end(2)], vec![end(2)]] {
        let (mut leader, worker, _) = with_runs();
        leader.report(worker, with_unread_ends(ends.clone(), &[2]));
        leader.advance(Duration::from_millis(300));
        let noted = u64::from(ends.len() == 2);
        assert_eq!(last_noted(&leader, worker), noted, "the end after it is held back");
    }
    leader.report(worker, with_unread_ends(vec![end(0), end(2)], &[2]));
    leader.advance(Duration::from_millis(300));
    assert!(leader.take_starts().is_empty(), "the run may have been done");
    leader.advance(Duration::from_millis(300));
    leader.report(worker, ended(vec![end(1), end(2)]));
    leader.advance(Duration::from_millis(300));
    assert!(leader.take_starts().is_empty(), "all are done");
    assert_eq!(leader.state.get_workers()[&worker].noted, 3);
}

/// A kind of end that was not known made each report of the worker count as no answer.
#[test]
fn an_end_that_can_never_be_read_loses_no_other() {
    let (mut leader, worker, starts) = with_runs();
    let first = starts[0].end(1, EndKind::Done);
    for _ in 0..3 {
        let rows = with_unread_ends(vec![first.clone()], &[2]);
        leader.report(worker, Report { running: running(&starts[2..]).running, ..rows });
        leader.advance(Duration::from_millis(300));
    }
    let again = start_all(&mut leader);
    assert_eq!(again.iter().map(|start| start.task).collect::<Vec<_>>(), [starts[1].task]);
    leader.report(worker, running(&[starts[2], again[0]]));
    leader.advance(Duration::from_millis(300));
    assert_eq!(last_noted(&leader, worker), 2, "the worker may forget it");
    let last = ended(vec![starts[2].end(3, EndKind::Done)]);
    leader.report(worker, Report { running: running(&again).running, ..last });
    leader.advance(Duration::from_millis(300));
    assert!(leader.take_starts().is_empty());
    assert_eq!(leader.state.get_workers()[&worker].noted, 3);
}

/// The row may be that of any run that is missing.
#[test]
fn no_run_is_freed_by_a_report_with_a_running_row_that_names_none() {
    let (mut leader, worker, starts) = with_runs();
    for _ in 0..3 {
        let unread = Unread { running: 1, ..Unread::default() };
        leader.report(worker, Report { unread, ..running(&starts[..2]) });
        leader.advance(Duration::from_millis(300));
        assert!(leader.take_starts().is_empty(), "the third may run on");
    }
    leader.report(worker, running(&starts[..2]));
    leader.advance(Duration::from_millis(300));
    assert_eq!(leader.take_starts().len(), 1);
}

/// A number of an end that is too high would have the worker forget all ends to come.
#[test]
fn a_number_that_no_end_reaches_hides_no_later_end() {
    for number in [u64::MAX, 1 << 62] {
        let (mut leader, worker, starts) = with_runs();
        leader.report(worker, ended(vec![starts[0].end(number, EndKind::Done)]));
        leader.report(worker, with_unread_ends(Vec::new(), &[number]));
        leader.advance(Duration::from_millis(300));
        leader.report(worker, with_unread_ends(Vec::new(), &[number]));
        leader.advance(Duration::from_millis(300));
        assert_eq!(last_noted(&leader, worker), 0, "number {number}");
        leader.report(worker, ended(vec![starts[1].end(1, EndKind::Done)]));
        leader.advance(Duration::from_millis(300));
        assert_eq!(leader.state.get_workers()[&worker].noted, 1, "number {number}");
    }
}

#[test]
fn a_worker_with_rows_that_cannot_be_read_is_not_polled_without_pause() {
    let (mut leader, worker, starts) = with_runs();
    let is_poll =
        |order: &Order| matches!(order, Order::Poll { worker: polled, .. } if *polled == worker);
    let unread = Unread { unnumbered: 1, ..Unread::default() };
    leader.orders.clear();
    leader.report(worker, Report { unread, ..running(&starts) });
    assert!(!leader.orders.iter().any(is_poll), "polled again at once");
    leader.advance(Duration::from_millis(500));
    assert!(leader.orders.iter().any(is_poll));
}

/// An end of a task that its job does not have ended the leader, or completed the job.
#[test]
fn an_end_of_a_task_that_the_job_does_not_have_is_skipped() {
    let odd = [(0, 60_000, 0), (0, 1, 0), (5, 0, 0), (u32::MAX, 0, 0), (0, 0, 60_000), (0, 0, 3)];
    for (occurrence, step_number, index) in odd {
        for is_gang in [false, true] {
            let mut leader = Leader::new();
            let worker = leader.worker("w");
            leader.submit(spec(vec![StepSpec { is_gang, ..step(3) }]));
            let starts = leader.take_starts();
            let fresh = starts[0].end(1, EndKind::Failed);
            let mut end = starts[0].end(2, EndKind::Done);
            end.task = StepId { job: KEY, occurrence, step: step_number }.task(index);
            let context = format!("{:?}, gang {is_gang}", end.task);
            leader.report(worker, ended(vec![fresh]));
            let mut runs = starts[1..].to_vec();
            for _ in 0..3 {
                runs.extend(start_all(&mut leader));
                leader.report(worker, Report { ended: vec![end.clone()], ..running(&runs) });
                leader.advance(Duration::from_millis(300));
            }
            assert!(!leader.state.get_jobs()[&KEY].is_over(), "{context}");
            assert_eq!(last_noted(&leader, worker), 2, "{context}: the worker may forget it");
        }
    }
}
