//! Tasks that move out of an evacuated availability zone.

use std::time::Duration;

use comfreymill_jobs::scheduler::{Answer, Config, Order, PollAnswer, StartAnswer};
use comfreymill_jobs::state::{Command, Submission};
use comfreymill_jobs::worker::{Announcement, End, EndKind, Report, Resources, RunStatus};
use comfreymill_jobs::{id, job};

use crate::support::{KEY, LEASE, Leader, Start, spec, step};

/// Time in which the next tasks that may move are looked for.
const ROUND: Duration = Duration::from_millis(120);

fn long_running(count: u16) -> job::StepSpec {
    job::StepSpec { is_long_running: true, ..step(count) }
}

/// Starts the step's tasks on workers of the zone south, before there are others, until they are at
/// work.
fn at_work(leader: &mut Leader, workers: usize, step: job::StepSpec) -> Vec<Start> {
    let south: Vec<_> = (0..workers).map(|i| leader.worker_in(&format!("s{i}"), "south")).collect();
    leader.submit(spec(vec![step]));
    let starts = leader.take_starts();
    for start in &starts {
        leader.started(start, StartAnswer::Started);
    }
    for number in south {
        report_all(leader, number, &starts, 100);
    }
    starts
}

/// Reports the runs of a worker with the given progress.
fn report_all(leader: &mut Leader, number: id::WorkerNumber, runs: &[Start], percent: u32) {
    let of_worker = runs.iter().filter(|start| start.worker == number);
    let running = of_worker.map(|start| RunStatus { percent, ..start.status() }).collect();
    leader.report(number, Report { running, ..Report::default() });
}

/// Takes the tasks that were ordered to stop.
fn take_stops(leader: &mut Leader) -> Vec<id::TaskId> {
    let is_stop = |order: &Order| matches!(order, Order::Stop { .. });
    let stops = leader.orders.iter().filter(|order| is_stop(order)).filter_map(Order::task);
    let stops = stops.collect();
    leader.orders.retain(|order| !is_stop(order));
    stops
}

/// Ends the run of a task that was ordered to stop.
fn end_stopped(leader: &mut Leader, runs: &[Start], task: id::TaskId, number: u64) {
    let start = runs.iter().find(|start| start.task == task).expect("it runs");
    let left = runs.iter().filter(|other| other.worker == start.worker && other.task != task);
    let running = left.map(|start| RunStatus { percent: 100, ..start.status() }).collect();
    let ended = vec![start.end(number, EndKind::Stopped)];
    leader.report(start.worker, Report { running, ended, ..Report::default() });
}

#[test]
fn a_long_running_task_moves_once_there_is_room_elsewhere() {
    let mut leader = Leader::new();
    let runs = at_work(&mut leader, 1, long_running(1));
    leader.evacuate("south");
    leader.advance(ROUND);
    assert_eq!(take_stops(&mut leader), [], "there is no other worker");
    let north = leader.worker_in("n", "north");
    leader.advance(ROUND);
    assert_eq!(take_stops(&mut leader), [runs[0].task]);
    // Short tasks that come meanwhile do not take the room that the task needs.
    leader.submit_as(KEY.get() + 1, spec(vec![step(8)]));
    assert_eq!(leader.take_starts().len(), 7);
    end_stopped(&mut leader, &runs, runs[0].task, 1);
    let again = leader.take_starts();
    assert_eq!(again.len(), 1);
    assert_eq!((again[0].task, again[0].worker), (runs[0].task, north));
}

#[test]
fn few_tasks_move_at_a_time() {
    let mut leader = Leader::new();
    let runs = at_work(&mut leader, 8, long_running(64));
    for i in 0..8 {
        leader.worker_in(&format!("nn{i}"), "north");
    }
    leader.evacuate("south");
    for _ in 0..3 {
        leader.advance(ROUND);
    }
    let stops = take_stops(&mut leader);
    assert_eq!(stops.len(), 2, "one for each 16 workers, and one more");
    end_stopped(&mut leader, &runs, stops[0], 1);
    leader.advance(ROUND);
    assert_eq!(take_stops(&mut leader).len(), 1, "the next one follows");
}

#[test]
fn a_step_loses_no_more_tasks_at_a_time_than_it_allows() {
    for (max_away, expected) in [(0, 0), (1, 1), (2, 2)] {
        let mut leader = Leader::new();
        let step = job::StepSpec { max_away: Some(max_away), ..long_running(6) };
        let runs = at_work(&mut leader, 1, step);
        for i in 0..16 {
            leader.worker_in(&format!("nn{i}"), "north");
        }
        leader.evacuate("south");
        leader.advance(ROUND);
        leader.advance(ROUND);
        let stops = take_stops(&mut leader);
        assert_eq!(stops.len(), expected, "max_away {max_away}");
        let Some(first) = stops.first() else { continue };
        end_stopped(&mut leader, &runs, *first, 1);
        leader.advance(ROUND);
        assert_eq!(take_stops(&mut leader), [], "the moved task is not at work yet");
        let again = leader.take_starts();
        leader.started(&again[0], StartAnswer::Started);
        report_all(&mut leader, again[0].worker, &again, 100);
        leader.advance(ROUND);
        assert_eq!(take_stops(&mut leader).len(), 1, "now it is");
    }
}

#[test]
fn tasks_that_may_not_share_a_worker_do_not_move_to_the_same_one() {
    let mut leader = Leader::new();
    let step = job::StepSpec { max_per_worker: Some(1), ..long_running(2) };
    let runs = at_work(&mut leader, 2, step);
    leader.worker_in("nn", "north");
    // Enough workers for two moves at a time; those that are leaving take no tasks.
    for i in 0..16 {
        let name = format!("nn{i}");
        leader.worker_in(&name, "north");
        let announcement = leader.announcement(&name, 10);
        leader.announce(Announcement { leaving_in: Some(Duration::ZERO), ..announcement });
    }
    leader.evacuate("south");
    leader.advance(ROUND);
    leader.advance(ROUND);
    let stops = take_stops(&mut leader);
    assert_eq!(stops.len(), 1);
    end_stopped(&mut leader, &runs, stops[0], 1);
    assert_eq!(leader.take_starts().len(), 1);
    leader.advance(ROUND);
    assert_eq!(take_stops(&mut leader), []);
}

#[test]
fn of_other_tasks_only_long_ones_with_checkpoints_move() {
    let cases = [(true, 60_000, 10, 1), (true, 60_000, 90, 0), (true, 2_000, 10, 0)];
    for (has_checkpoints, estimate_ms, percent, expected) in
        cases.into_iter().chain([(false, 60_000, 10, 0)])
    {
        let mut leader = Leader::new();
        let step = job::StepSpec { has_checkpoints, estimate_ms, ..step(1) };
        let runs = at_work(&mut leader, 1, step);
        report_all(&mut leader, runs[0].worker, &runs, percent);
        leader.worker_in("n", "north");
        leader.evacuate("south");
        leader.advance(ROUND);
        assert_eq!(take_stops(&mut leader).len(), expected, "{estimate_ms} ms, at {percent} %");
    }
}

#[test]
fn a_moved_task_resumes_from_the_checkpoint_that_its_stop_has_taken() {
    let mut leader = Leader::new();
    let step = job::StepSpec { has_checkpoints: true, estimate_ms: 60_000, ..step(1) };
    let runs = at_work(&mut leader, 1, step);
    leader.worker_in("n", "north");
    let checkpoint = "before the stop".to_owned();
    let running = vec![RunStatus { checkpoint, ..runs[0].status() }];
    leader.report(runs[0].worker, Report { running, ..Report::default() });
    leader.evacuate("south");
    leader.advance(ROUND);
    let checkpoint = "at the stop".to_owned();
    let ended = vec![End { checkpoint, ..runs[0].end(1, EndKind::Stopped) }];
    leader.orders.clear();
    leader.report(runs[0].worker, Report { ended, ..Report::default() });
    let checkpoints: Vec<_> = leader
        .orders
        .iter()
        .filter_map(|order| match order {
            Order::Start { checkpoint, .. } => Some(checkpoint.as_str()),
            _ => None,
        })
        .collect();
    assert_eq!(checkpoints, ["at the stop"]);
}

#[test]
fn a_task_whose_new_place_is_lost_waits_for_another() {
    let mut leader = Leader::new();
    let runs = at_work(&mut leader, 1, long_running(1));
    leader.worker_in("n", "north");
    leader.evacuate("south");
    leader.advance(ROUND);
    assert_eq!(take_stops(&mut leader).len(), 1);
    leader.evacuate("north");
    end_stopped(&mut leader, &runs, runs[0].task, 1);
    assert_eq!(leader.take_starts(), []);
    let west = leader.worker_in("w", "west");
    let again = leader.take_starts();
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].worker, west);
    leader.withdraw("north");
    leader.advance(Duration::from_secs(4));
    leader.submit_as(KEY.get() + 1, spec(vec![step(15)]));
    assert_eq!(leader.take_starts().len(), 15, "no room stays reserved");
}

#[test]
fn tasks_that_wait_for_room_come_first_until_the_operator_has_waited_for_long() {
    let mut leader = Leader::new();
    let runs = at_work(&mut leader, 1, long_running(1));
    leader.worker_in("n", "north");
    // It waits for a worker with a label, so that room is left although it waits.
    let labelled = job::StepSpec { required_label: Some("none".to_owned()), ..step(1) };
    leader.submit_as(KEY.get() + 1, spec(vec![labelled]));
    leader.evacuate("south");
    let mut seconds = 0;
    while take_stops(&mut leader).is_empty() {
        leader.advance(Duration::from_secs(1));
        leader.worker_reports_nothing("n");
        report_all(&mut leader, runs[0].worker, &runs, 100);
        seconds += 1;
        assert!(seconds < 100, "it moves at last");
    }
    assert_eq!(seconds, 60);
}

#[test]
fn moves_leave_room_for_bursts() {
    for (short, expected) in [(6, 1), (7, 0)] {
        let mut leader = Leader::new();
        at_work(&mut leader, 1, long_running(8));
        leader.worker_in("n", "north");
        leader.submit_as(KEY.get() + 1, spec(vec![step(short)]));
        leader.evacuate("south");
        leader.advance(ROUND);
        assert_eq!(take_stops(&mut leader).len(), expected, "{short} of 8 are taken");
    }
}

#[test]
fn no_task_moves_after_the_withdrawal() {
    let mut leader = Leader::new();
    at_work(&mut leader, 1, long_running(2));
    leader.evacuate("south");
    leader.withdraw("south");
    leader.worker_in("n", "north");
    leader.advance(ROUND);
    assert_eq!(take_stops(&mut leader), []);
}

/// Workers of a zone that returns are opened in steps; their tasks have no reason to leave.
#[test]
fn no_task_moves_out_of_a_zone_that_returns_while_another_one_is_evacuated() {
    let mut leader = Leader::new();
    at_work(&mut leader, 4, long_running(32));
    leader.evacuate("south");
    leader.withdraw("south");
    leader.evacuate("west");
    for i in 0..16 {
        leader.worker_in(&format!("nn{i}"), "north");
    }
    leader.advance(ROUND);
    leader.advance(ROUND);
    assert_eq!(take_stops(&mut leader), []);
}

/// Reports without a placement: a round that has begun goes on later.
fn report_during_round(leader: &mut Leader, start: &Start, kind: EndKind) {
    let clock_ms = Some(5_000 + leader.now.as_micros() / 1_000);
    let report = Report { clock_ms, ended: vec![start.end(1, kind)], ..Report::default() };
    let answer = Answer::Poll(PollAnswer::Report(report));
    leader.scheduler.answered(leader.now, start.worker, leader.now, answer);
    let commands = leader.scheduler.take_commands();
    leader.commit(commands);
}

/// The withdrawal comes while a run is being stopped, and a long round of placement starts the task
/// where it was.
#[test]
fn no_room_stays_reserved_for_a_task_that_starts_again_where_it_was() {
    let mut leader = Leader::with_config(Config::new(LEASE).evacuation_patience(Duration::ZERO));
    let step_of_two = job::StepSpec { max_per_worker: Some(1), ..long_running(2) };
    let runs = at_work(&mut leader, 1, step_of_two);
    leader.evacuate("south");
    leader.worker_in("n", "north");
    let other = leader.take_starts()[0];
    leader.started(&other, StartAnswer::Started);
    let to = leader.worker_in("nn", "north");
    leader.advance(ROUND);
    assert_eq!(take_stops(&mut leader), [runs[0].task]);

    leader.now = leader.now + Duration::from_secs(1);
    let no_answer = Answer::Poll(PollAnswer::NoAnswer);
    leader.scheduler.answered(leader.now, to, leader.now, no_answer);
    let order = leader.zone_order("south");
    leader.commit(vec![Command::WithdrawEvacuation(order)]);
    report_during_round(&mut leader, &other, EndKind::Failed);
    let needs = Resources { cpu_milli: 20_000, mem_mb: 1, gpus: 0 };
    let too_large = job::StepSpec { needs, ..step(1) };
    let submission = |key| Submission {
        job: id::JobKey::new(key),
        queue: "batch".to_owned(),
        max_attempts: 2,
        spec: spec(vec![too_large.clone()]),
    };
    leader.commit((0..3_000).map(|key| Command::Submit(Box::new(submission(key)))).collect());
    leader.scheduler.place(leader.now);
    assert!(leader.scheduler.has_placement_left(), "the round goes on");
    report_during_round(&mut leader, &runs[0], EndKind::Stopped);
    leader.settle();
    let again = leader.take_starts();
    assert!(again.iter().all(|start| start.worker != to));
    let again = again.iter().find(|start| start.task == runs[0].task).expect("it starts");
    assert_eq!(again.worker, runs[0].worker);
    leader.started(again, StartAnswer::Started);

    leader.report(to, Report::default());
    assert_eq!(leader.take_starts(), []);
    leader.submit_as(KEY.get() + 1, spec(vec![step(40)]));
    leader.advance(ROUND);
    let starts = leader.take_starts();
    assert_eq!(starts.iter().filter(|start| start.worker == to).count(), 8);
}
