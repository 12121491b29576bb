//! A new leader starts no task that may still run for an earlier leader.

use std::time::Duration;

use comfreymill_jobs::scheduler::{Acknowledgement, Answer, Order, StartAnswer};
use comfreymill_jobs::state::Command;
use comfreymill_jobs::worker::{EndKind, Report};

use crate::support::{KEY, LEASE, Leader, Start, ended, running, spec, step};

fn with_next_leader() -> (Leader, Vec<Start>) {
    let mut leader = Leader::new();
    leader.worker("first");
    leader.worker("second");
    let mut apart = step(2);
    apart.max_per_worker = Some(1);
    leader.submit(spec(vec![apart]));
    let starts = leader.take_starts();
    for start in &starts {
        leader.started(start, StartAnswer::Started);
    }
    assert_ne!(starts[0].worker, starts[1].worker, "each worker has one");
    (leader.into_next_leader(), starts)
}

/// Announces both workers to the new leader, as their next heartbeats do.
fn announce(leader: &mut Leader) {
    for name in ["first", "second"] {
        let mut announcement = leader.announcement(name, 10);
        announcement.sequence += 100;
        leader.announce(announcement);
    }
    leader.advance(Duration::from_millis(1));
}

#[test]
fn reported_runs_are_adopted() {
    let (mut leader, starts) = with_next_leader();
    announce(&mut leader);
    for start in &starts {
        leader.report(start.worker, running(&[*start]));
    }
    leader.advance(Duration::from_millis(100));
    assert!(leader.take_starts().is_empty());
}

#[test]
fn tasks_wait_for_a_worker_that_has_not_reported_until_its_lease_expires() {
    let (mut leader, starts) = with_next_leader();
    announce(&mut leader);
    leader.report(starts[0].worker, Report::default());
    leader.advance(LEASE - Duration::from_millis(100));
    assert!(leader.take_starts().is_empty());
    leader.advance(LEASE / 10);
    let again = leader.take_starts();
    assert_eq!(again.len(), 1, "only the other worker has reported that it runs nothing");
    leader.started(&again[0], StartAnswer::Started);
    leader.report(starts[1].worker, Report::default());
    leader.advance(Duration::from_millis(100));
    assert_eq!(leader.take_starts().len(), 1, "and the other task is free as well");
}

#[test]
fn a_step_that_was_never_started_does_not_wait_for_a_silent_worker() {
    let mut leader = Leader::new();
    leader.worker("first");
    leader.worker("second");
    let mut after = step(1);
    after.depends_on = vec![0];
    leader.submit(spec(vec![step(1), after]));
    let starts = leader.take_starts();
    leader.started(&starts[0], StartAnswer::Started);
    let mut leader = leader.into_next_leader();
    announce(&mut leader);
    leader.report(starts[0].worker, ended(vec![starts[0].end(1, EndKind::Done)]));
    leader.advance(Duration::from_millis(20));
    let later = leader.take_starts();
    assert_eq!(later.iter().map(|start| start.task.step.step).collect::<Vec<_>>(), [1]);
}

#[test]
fn reported_ends_are_committed_before_tasks_are_started_again() {
    let (mut leader, starts) = with_next_leader();
    announce(&mut leader);
    leader.holds_commits = true;
    for start in &starts {
        leader.report(start.worker, ended(vec![start.end(1, EndKind::Done)]));
    }
    leader.advance(Duration::from_millis(100));
    assert!(
        leader.take_starts().is_empty(),
        "both tasks are done according to reports that are not committed"
    );
    leader.release_commits();
    leader.advance(Duration::from_millis(100));
    assert!(leader.take_starts().is_empty());
}

#[test]
fn runs_of_a_later_leader_have_higher_numbers() {
    let (mut leader, starts) = with_next_leader();
    announce(&mut leader);
    for start in &starts {
        leader.report(start.worker, Report::default());
    }
    leader.advance(Duration::from_millis(100));
    let again = leader.take_starts();
    assert_eq!(again.len(), 2);
    assert!(again.iter().all(|new| starts.iter().all(|old| new.run > old.run)));
}

#[test]
fn a_run_of_an_unknown_job_is_stopped() {
    let (mut leader, starts) = with_next_leader();
    announce(&mut leader);
    let mut unknown = starts[0];
    unknown.task.step.job = comfreymill_jobs::id::JobKey::new(1);
    leader.report(unknown.worker, running(&[unknown]));
    let stop = |order: &Order| matches!(order, Order::Stop { task, .. } if *task == unknown.task);
    assert!(leader.orders.iter().any(stop));
}

#[test]
fn a_run_that_is_being_stopped_keeps_its_resources_until_it_ends() {
    let mut leader = Leader::new();
    let worker = leader.worker("first");
    leader.submit(spec(vec![step(1)]));
    let start = leader.take_starts()[0];
    // A start order of an earlier leader is carried out late: the task is still to be run, but this
    // run must be stopped.
    let answer = StartAnswer::Refused(comfreymill_jobs::scheduler::Refusal::NoRoom);
    leader.started(&start, answer);
    leader.report(worker, running(&[start]));
    leader.advance(Duration::from_secs(1));
    assert!(leader.take_starts().is_empty(), "the only worker still has the old run");
    leader.report(worker, ended(vec![start.end(1, EndKind::Stopped)]));
    leader.advance(Duration::from_secs(1));
    assert_eq!(leader.take_starts().len(), 1);
    leader.report(worker, Report::default());
    leader.submit_as(2, spec(vec![step(7)]));
    assert_eq!(leader.take_starts().len(), 7, "all freed capacity is available again");
}

#[test]
fn workers_that_report_new_ends_all_the_time_do_not_delay_placement() {
    let (mut leader, starts) = with_next_leader();
    announce(&mut leader);
    leader.report(starts[0].worker, running(&starts[..1]));
    leader.advance(Duration::from_millis(20));
    // The first worker has ends that are being committed when the other one reports.
    leader.holds_commits = true;
    leader.report(starts[0].worker, ended(vec![starts[0].end(1, EndKind::Done)]));
    leader.report(starts[1].worker, Report::default());
    leader.advance(Duration::from_millis(20));
    let again = leader.take_starts();
    assert_eq!(again.iter().map(|start| start.task).collect::<Vec<_>>(), [starts[1].task]);
}

#[test]
fn workers_are_used_before_they_announce_themselves_to_a_new_leader() {
    let (mut leader, starts) = with_next_leader();
    leader.advance(Duration::from_millis(1));
    for start in &starts {
        leader.report(start.worker, running(&[*start]));
    }
    leader.submit_as(0x0dd, spec(vec![step(3)]));
    leader.advance(Duration::from_millis(1));
    assert_eq!(leader.take_starts().len(), 3);
}

/// A leader acknowledges that a worker is leaving and ends; the next one has heard from the worker
/// only through a report of its runs.
#[test]
fn a_worker_whose_departure_was_acknowledged_gets_no_task_from_the_next_leader() {
    let (mut leader, starts) = with_next_leader();
    let late = leader.announcement("first", 10);
    let mut leaving = leader.announcement("first", 10);
    leaving.leaving_in = Some(Duration::from_millis(2_500));
    assert!(leader.announce(leaving));
    let mut leader = leader.into_next_leader();
    leader.advance(Duration::from_millis(1));
    for start in &starts {
        leader.report(start.worker, running(&[*start]));
    }
    // An announcement that was sent before the departure arrives late.
    leader.announce(late);
    leader.submit_as(0x0dd, spec(vec![step(3)]));
    leader.advance(Duration::from_millis(1));
    let started = leader.take_starts();
    assert_eq!(started.len(), 3);
    assert!(started.iter().all(|start| start.worker == starts[1].worker), "{started:?}");
}

#[test]
fn long_running_tasks_leave_a_leaving_worker_that_the_next_leader_finds() {
    let mut leader = Leader::new();
    let worker = leader.worker("first");
    let mut lasting = step(1);
    lasting.is_long_running = true;
    leader.submit(spec(vec![lasting]));
    let start = leader.take_starts()[0];
    leader.started(&start, StartAnswer::Started);
    let mut leaving = leader.announcement("first", 10);
    leaving.leaving_in = Some(Duration::from_millis(2_500));
    leader.announce(leaving);
    let mut leader = leader.into_next_leader();
    leader.advance(Duration::from_millis(1));
    leader.report(worker, running(&[start]));
    let is_stop = |order: &Order| matches!(order, Order::Stop { task, .. } if *task == start.task);
    assert!(leader.orders.iter().any(is_stop));
}

#[test]
fn a_departure_is_not_acknowledged_before_the_worker_is_in_the_log() {
    let mut leader = Leader::new();
    let mut leaving = leader.announcement("w", 10);
    leaving.leaving_in = Some(Duration::from_millis(2_500));
    assert!(!leader.announce(leaving.clone()));
    leaving.sequence += 1;
    assert!(leader.announce(leaving));
    assert_eq!(leader.state.get_leaving().len(), 1);
}

/// A worker that does not guard its capacity shrank, and the next leader placed tasks by the capacity
/// that it had announced first.
#[test]
fn the_next_leader_keeps_to_the_capacity_of_a_worker_that_has_shrunk() {
    let mut leader = Leader::new();
    let worker = leader.worker("w");
    let mut shrunk = leader.announcement("w", 10);
    shrunk.capacity.cpu_milli = 6_000;
    leader.announce(shrunk);
    let mut leader = leader.into_next_leader();
    leader.advance(Duration::from_millis(1));
    leader.report(worker, Report::default());
    leader.submit(spec(vec![step(8)]));
    assert_eq!(leader.take_starts().len(), 3, "6 of 16 cores are left for tasks of 2");
}

/// What is being stopped still counts, also if the job that it belonged to is over.
#[test]
fn nothing_is_placed_beside_a_run_of_unknown_size_until_it_has_ended() {
    let mut leader = Leader::new();
    let worker = leader.worker("w");
    leader.submit(spec(vec![step(8)]));
    let starts = leader.take_starts();
    leader.commit(vec![Command::Cancel { job: KEY }]);
    let mut leader = leader.into_next_leader();
    leader.advance(Duration::from_millis(1));
    leader.report(worker, running(&starts));
    leader.submit_as(2, spec(vec![step(1)]));
    assert!(leader.take_starts().is_empty());
    let ends = (1..).zip(&starts).map(|(number, start)| start.end(number, EndKind::Stopped));
    leader.report(worker, ended(ends.collect()));
    leader.advance(Duration::from_millis(100));
    assert_eq!(leader.take_starts().len(), 1);
}

/// A leaving worker was removed, and an announcement that was delayed since before its departure
/// brought it back.
#[test]
fn a_delayed_announcement_does_not_bring_a_departed_worker_back() {
    for has_next_leader in [false, true] {
        let mut leader = Leader::new();
        let worker = leader.worker("w");
        let delayed = leader.announcement("w", 10);
        let mut leaving = leader.announcement("w", 10);
        leaving.leaving_in = Some(Duration::from_millis(2_500));
        leader.announce(leaving);
        leader.scheduler.answered(leader.now, worker, leader.now, Answer::WorkerGone);
        leader.settle();
        if has_next_leader {
            leader = leader.into_next_leader();
        }
        leader.announce(delayed);
        assert!(leader.state.get_workers().is_empty(), "next leader: {has_next_leader}");
    }
}

/// The log was slow to commit a departure, and an announcement that came again was acknowledged in
/// the meantime.
#[test]
fn a_repeated_departure_is_not_acknowledged_before_it_is_committed() {
    let mut leader = Leader::new();
    leader.worker("w");
    let mut leaving = leader.announcement("w", 10);
    leaving.leaving_in = Some(Duration::from_millis(2_500));
    for _ in 0..2 {
        let acknowledgement = leader.scheduler.announced(leader.now, leaving.clone());
        assert!(matches!(acknowledgement, Acknowledgement::Committed(_)), "{acknowledgement:?}");
    }
}

/// After a change of leader, jobs of no use any more took the room of those that could be in time.
#[test]
fn a_new_leader_knows_how_long_jobs_have_waited() {
    let mut leader = Leader::new();
    let worker = leader.worker("w");
    leader.submit_as(1, spec(vec![step(8)]));
    let starts = leader.take_starts();
    for start in &starts {
        leader.started(start, StartAnswer::Started);
    }
    // A job may take 1.5 times its estimate of 800 ms and 500 ms; 5.1 s are of no use.
    leader.submit_as(2, spec(vec![step(8)]));
    leader.advance(Duration::from_secs(5));
    let mut leader = leader.into_next_leader();
    leader.advance(Duration::from_millis(10));
    leader.report(worker, running(&starts));
    leader.submit_as(3, spec(vec![step(8)]));
    leader.advance(Duration::from_millis(100));
    let ends = (1..).zip(&starts).map(|(number, start)| start.end(number, EndKind::Done));
    leader.report(worker, ended(ends.collect()));
    let next = leader.take_starts();
    assert_eq!(next.len(), 8, "no room is left unused");
    let third = comfreymill_jobs::id::JobKey::new(3);
    assert!(next.iter().all(|start| start.task.step.job == third), "{next:?}");
}
