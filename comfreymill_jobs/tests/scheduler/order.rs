//! Which tasks are started, in which order and on which workers.

use std::time::Duration;

use comfreymill_jobs::id;
use comfreymill_jobs::job::Schedule;
use comfreymill_jobs::scheduler::{Order, StartAnswer};
use comfreymill_jobs::state::Command;
use comfreymill_jobs::worker::EndKind;

use crate::support::{KEY, Leader, ended, running, spec, step, task};

#[test]
fn a_step_waits_for_all_tasks_of_the_steps_before() {
    let mut leader = Leader::new();
    let worker = leader.worker("w");
    let mut second = step(1);
    second.depends_on = vec![0];
    leader.submit(spec(vec![step(2), second]));
    let starts = leader.take_starts();
    assert_eq!(starts.len(), 2);
    for start in &starts {
        leader.started(start, StartAnswer::Started);
    }
    let mut report = running(&starts[1..]);
    report.ended = vec![starts[0].end(1, EndKind::Done)];
    leader.report(worker, report);
    assert!(leader.take_starts().is_empty());
    leader.report(worker, ended(vec![starts[1].end(2, EndKind::Done)]));
    let starts = leader.take_starts();
    assert_eq!(starts.iter().map(|start| start.task).collect::<Vec<_>>(), [task(1, 0)]);
}

#[test]
fn no_worker_gets_more_tasks_than_it_has_resources_for() {
    let mut leader = Leader::new();
    leader.worker("w");
    leader.submit(spec(vec![step(12)]));
    assert_eq!(leader.take_starts().len(), 8, "the worker has processors and memory for 8 tasks");
}

#[test]
fn required_labels_and_the_limit_per_worker_are_respected() {
    let mut leader = Leader::new();
    let near = leader.worker("near");
    leader.worker("far");
    let mut labelled = step(1);
    labelled.required_label = Some("rack-near".to_owned());
    let mut apart = step(6);
    apart.max_per_worker = Some(2);
    leader.submit(spec(vec![labelled, apart]));
    let starts = leader.take_starts();
    let of_step = |step: u16| starts.iter().filter(move |start| start.task.step.step == step);
    assert!(of_step(0).all(|start| start.worker == near));
    assert_eq!(of_step(0).count(), 1);
    assert_eq!(of_step(1).count(), 4, "two on each of two workers");
}

#[test]
fn a_leaving_worker_gets_no_start() {
    let mut leader = Leader::new();
    leader.worker("w");
    let mut leaving = leader.announcement("w", 10);
    leaving.leaving_in = Some(Duration::from_millis(2_500));
    leader.announce(leaving);
    leader.submit(spec(vec![step(1)]));
    leader.advance(Duration::from_millis(100));
    assert!(leader.take_starts().is_empty());
}

#[test]
fn an_outdated_announcement_does_not_make_a_leaving_worker_usable() {
    let mut leader = Leader::new();
    leader.worker("w");
    let older = leader.announcement("w", 10);
    let mut leaving = leader.announcement("w", 10);
    leaving.leaving_in = Some(Duration::from_millis(2_500));
    leader.announce(leaving);
    leader.announce(older);
    leader.submit(spec(vec![step(1)]));
    assert!(leader.take_starts().is_empty());
}

#[test]
fn an_occurrence_does_not_begin_before_its_time() {
    let mut leader = Leader::new();
    leader.worker("w");
    let mut recurring = spec(vec![step(1)]);
    let first_unix_ms = 1_700_000_000_000 + 4_000;
    recurring.schedule = Some(Schedule { count: 2, first_unix_ms, interval_ms: 1_000 });
    leader.advance(Duration::from_millis(1));
    leader.submit(recurring);
    leader.advance(Duration::from_millis(2_900));
    assert!(leader.take_starts().is_empty());
    leader.advance(Duration::from_millis(200));
    assert_eq!(leader.take_starts().len(), 1);
    leader.advance(Duration::from_millis(1_000));
    let starts = leader.take_starts();
    let occurrences: Vec<u32> = starts.iter().map(|start| start.task.step.occurrence).collect();
    assert_eq!(occurrences, [1]);
}

#[test]
fn runs_of_a_cancelled_job_are_stopped_and_no_more_are_started() {
    let mut leader = Leader::new();
    leader.worker("w");
    leader.submit(spec(vec![step(9)]));
    let starts = leader.take_starts();
    leader.started(&starts[0], StartAnswer::Started);
    leader.commit(vec![Command::Cancel { job: KEY }]);
    leader.settle();
    let stops = leader.orders.iter().filter(|order| matches!(order, Order::Stop { .. })).count();
    assert_eq!(stops, starts.len());
    leader.advance(Duration::from_secs(1));
    assert!(leader.take_starts().is_empty());
}

#[test]
fn short_tasks_are_placed_before_long_running_ones() {
    let mut leader = Leader::new();
    let worker = leader.worker("w");
    let mut long_running = step(12);
    long_running.is_long_running = true;
    let mut short = step(2);
    short.depends_on = vec![0];
    let mut first = step(8);
    first.depends_on = Vec::new();
    leader.submit(spec(vec![first, short, long_running]));
    let starts = leader.take_starts();
    assert!(starts.iter().all(|start| start.task.step.step == 0), "{starts:?}");
    for start in &starts {
        leader.started(start, StartAnswer::Started);
    }
    let done = |number: u64| starts[number as usize - 1].end(number, EndKind::Done);
    let ends = (1..=8).map(done).collect();
    leader.report(worker, ended(ends));
    let starts = leader.take_starts();
    let of_step = |step: u16| starts.iter().filter(|start| start.task.step.step == step).count();
    assert_eq!((of_step(1), of_step(2)), (2, 6));
}

/// A burst of jobs that fill the only worker four times over, all due at nearly the same time: those
/// that got no room in time must not delay the next ones.
#[test]
fn jobs_that_can_be_in_time_go_before_late_ones() {
    let mut leader = Leader::new();
    let worker = leader.worker("w");
    // A job may take 1.5 times its estimate of 800 ms and 500 ms, 1,700 ms in all.
    for key in 1..=4 {
        leader.submit_as(key, spec(vec![step(8)]));
        leader.advance(Duration::from_millis(20));
    }
    let mut completed_in_time = 0;
    for round in 0..4_u64 {
        let starts = leader.take_starts();
        assert_eq!(starts.len(), 8, "no room is left unused");
        for start in &starts {
            leader.started(start, StartAnswer::Started);
        }
        leader.advance(Duration::from_millis(1_000));
        if round == 0 {
            // A job that arrives in the meantime can be in time if it is next; the waiting ones,
            // of which one could have been, are 1 s old.
            leader.submit_as(9, spec(vec![step(8)]));
        }
        let is_last = starts.iter().all(|start| start.task.step.job == id::JobKey::new(9));
        completed_in_time += u32::from(round < 2 && (is_last || round == 0));
        let ends = (1..).zip(&starts).map(|(n, start)| start.end(8 * round + n, EndKind::Done));
        leader.report(worker, ended(ends.collect()));
    }
    assert_eq!(completed_in_time, 2, "the first job and the one that arrived 1 s later");
    let left = leader.take_starts();
    assert_eq!(left.len(), 8, "late jobs run as well");
}

#[test]
fn a_start_order_expires_before_a_departure_takes_effect() {
    let mut leader = Leader::new();
    leader.worker("w");
    leader.submit(spec(vec![step(1)]));
    let is_start = |order: &&Order| matches!(order, Order::Start { .. });
    let start = leader.orders.iter().find(is_start).expect("a start");
    assert!(!start.has_expired(leader.now + Duration::from_millis(500)));
    // Workers serve for 2.5 s after their departure is acknowledged.
    assert!(start.has_expired(leader.now + Duration::from_millis(2_000)));
}

/// Start orders that no worker carried out made their jobs disappear from the count.
#[test]
fn a_job_counts_as_waiting_until_a_worker_has_begun_a_task() {
    let mut leader = Leader::new();
    leader.worker("w");
    leader.submit(spec(vec![step(1)]));
    let start = leader.take_starts()[0];
    assert_eq!(leader.scheduler.count_waiting_jobs("batch"), 1);
    leader.started(&start, StartAnswer::NotSent);
    assert_eq!(leader.scheduler.count_waiting_jobs("batch"), 1);
    leader.advance(Duration::from_secs(2));
    let start = leader.take_starts()[0];
    leader.started(&start, StartAnswer::Started);
    assert_eq!(leader.scheduler.count_waiting_jobs("batch"), 0);
}

#[test]
fn a_worker_that_has_shrunk_below_its_load_gets_nothing_until_it_grows() {
    let mut leader = Leader::new();
    let worker = leader.worker("w");
    leader.submit(spec(vec![step(4)]));
    let starts = leader.take_starts();
    let resize = |leader: &mut Leader, cpu_milli: u32| {
        let mut announcement = leader.announcement("w", 10);
        announcement.capacity.cpu_milli = cpu_milli;
        leader.announce(announcement);
        leader.advance(Duration::from_millis(100));
    };
    resize(&mut leader, 6_000);
    leader.submit_as(1, spec(vec![step(1)]));
    assert!(leader.take_starts().is_empty());
    // Three of the four tasks fill what is left; the end of one frees nothing.
    let mut report = running(&starts[1..]);
    report.ended = vec![starts[0].end(1, EndKind::Done)];
    leader.report(worker, report);
    assert!(leader.take_starts().is_empty());
    resize(&mut leader, 8_000);
    assert_eq!(leader.take_starts().len(), 1);
}
