//! Workers that are held for tasks that need more than one short task frees.

use std::time::Duration;

use comfreymill_jobs::scheduler::StartAnswer;
use comfreymill_jobs::worker::{EndKind, Report, Resources};
use comfreymill_jobs::{id, job};

use crate::support::{KEY, Leader, Start, running, spec, step};

const LONG_RUNNING: u64 = 0x0bad_5eed;

/// Returns a job with one long-running task that needs as much as two short ones.
fn long_running() -> job::JobSpec {
    let mut long_running = step(1);
    long_running.needs = Resources { cpu_milli: 4_000, mem_mb: 1_000, gpus: 0 };
    long_running.is_long_running = true;
    spec(vec![long_running])
}

/// Ends the oldest run on each worker; returns the starts that follow.
fn end_oldest(leader: &mut Leader, runs: &mut Vec<Start>, numbers: &mut [u64]) -> Vec<Start> {
    let mut all = Vec::new();
    for (position, number) in numbers.iter_mut().enumerate() {
        let of_worker = |start: &Start| start.worker == nth(position);
        let Some(oldest) = runs.iter().position(of_worker) else { continue };
        let oldest = runs.remove(oldest);
        *number += 1;
        let left: Vec<Start> = runs.iter().filter(|start| of_worker(start)).copied().collect();
        let ended = vec![oldest.end(*number, EndKind::Done)];
        leader.report(nth(position), Report { ended, ..running(&left) });
        let starts = leader.take_starts();
        for start in &starts {
            leader.started(start, StartAnswer::Started);
        }
        runs.extend(&starts);
        all.extend(starts);
    }
    all
}

fn nth(position: usize) -> id::WorkerNumber {
    id::WorkerNumber::new(u32::try_from(position).expect("a small number") + 1)
}

#[test]
fn a_long_running_task_is_placed_on_workers_that_short_tasks_keep_full() {
    let mut leader = Leader::new();
    let workers = [leader.worker("v"), leader.worker("w")];
    assert_eq!(workers, [nth(0), nth(1)]);
    leader.submit(spec(vec![step(400)]));
    let mut runs = leader.take_starts();
    assert_eq!(runs.len(), 16);
    for start in &runs.clone() {
        leader.started(start, StartAnswer::Started);
    }
    leader.submit_as(LONG_RUNNING, long_running());
    let mut numbers = [0; 2];
    let mut waited = Duration::ZERO;
    let mut short = 0;
    loop {
        leader.advance(Duration::from_millis(200));
        waited += Duration::from_millis(200);
        let starts = end_oldest(&mut leader, &mut runs, &mut numbers);
        short += starts.iter().filter(|start| start.task.step.job == KEY).count();
        if starts.iter().any(|start| start.task.step.job.get() == LONG_RUNNING) {
            break;
        }
        assert!(waited < Duration::from_secs(6), "no worker was held for the long-running task");
    }
    // Two runs end per round. Room for two short tasks is held on one worker; no other start is
    // lost.
    let rounds = (waited.as_millis() / 200) as usize;
    assert!(short >= 2 * rounds - 6, "{short} short tasks were started in {rounds} rounds");
}

/// Recorded on a day of clar-mill: large tasks of an urgent queue waited for 5 to 10 s, while smaller
/// ones that came later took each piece of room.
#[test]
fn a_large_short_task_is_not_overtaken_by_small_ones_until_it_is_late() {
    const LARGE: u64 = 0x0bad_5eee;
    const LATER: u64 = 0x0bad_5eef;
    let mut leader = Leader::new();
    let workers = [leader.worker("v"), leader.worker("w")];
    assert_eq!(workers, [nth(0), nth(1)]);
    leader.submit(spec(vec![step(16)]));
    let mut runs = leader.take_starts();
    assert_eq!(runs.len(), 16);
    for start in &runs.clone() {
        leader.started(start, StartAnswer::Started);
    }
    let mut large = step(1);
    large.needs.cpu_milli = 4_000;
    leader.submit_as(LARGE, spec(vec![large]));
    leader.advance(Duration::from_millis(50));
    leader.submit_as(LATER, spec(vec![step(400)]));
    let mut numbers = [0; 2];
    let mut waited = Duration::from_millis(50);
    loop {
        leader.advance(Duration::from_millis(100));
        waited += Duration::from_millis(100);
        let starts = end_oldest(&mut leader, &mut runs, &mut numbers);
        if starts.iter().any(|start| start.task.step.job.get() == LARGE) {
            break;
        }
        // It takes 0.8 s and is allowed 1.7 s.
        assert!(waited < Duration::from_millis(900), "the large task can't be in time any more");
    }
}

/// Recorded on a day of dhrt-mill-grown: two long-running tasks were away for 25 s, since large short
/// ones, which came all the time, took the room that became free for them.
#[test]
fn large_short_tasks_do_not_take_the_room_that_is_held_for_a_long_running_one() {
    const LARGE: u64 = 0x0bad_6000;
    let mut leader = Leader::new();
    leader.worker("v");
    leader.submit(spec(vec![step(8)]));
    let mut runs = leader.take_starts();
    for start in &runs.clone() {
        leader.started(start, StartAnswer::Started);
    }
    leader.submit_as(LONG_RUNNING, long_running());
    let mut large = step(1);
    large.needs.cpu_milli = 4_000;
    let mut numbers = [0; 1];
    for round in 0..30 {
        leader.submit_as(LARGE + round, spec(vec![large.clone()]));
        leader.advance(Duration::from_millis(200));
        let starts = end_oldest(&mut leader, &mut runs, &mut numbers);
        if starts.iter().any(|start| start.task.step.job.get() == LONG_RUNNING) {
            return;
        }
    }
    panic!("the long-running task waited for 6 s");
}

/// Returns a job with one long-running task that needs `cpu_milli` thousandths of a core.
fn long_running_of(cpu_milli: u32) -> job::JobSpec {
    let mut spec = long_running();
    spec.steps[0].needs.cpu_milli = cpu_milli;
    spec
}

/// Has a worker that short tasks fill free 6 of its 16 cores while it is held for a long-running task
/// that needs 10.
fn hold_for_a_larger_one() -> (Leader, id::WorkerNumber, Vec<Start>) {
    const LARGER: u64 = 0x0bad_7000;
    let mut leader = Leader::new();
    let worker = leader.worker("v");
    leader.submit(spec(vec![step(8)]));
    let mut runs = leader.take_starts();
    assert_eq!(runs.len(), 8);
    for start in &runs.clone() {
        leader.started(start, StartAnswer::Started);
    }
    leader.submit_as(LARGER, long_running_of(10_000));
    advance(&mut leader, worker, &runs, Duration::from_millis(2_500));
    let ended: Vec<Start> = runs.drain(..3).collect();
    let ended = (1..).zip(&ended).map(|(number, start)| start.end(number, EndKind::Done)).collect();
    leader.report(worker, Report { ended, ..running(&runs) });
    (leader, worker, runs)
}

/// Lets time pass in which the worker goes on reporting its runs.
fn advance(leader: &mut Leader, worker: id::WorkerNumber, runs: &[Start], span: Duration) {
    let period = Duration::from_millis(100);
    for _ in 0..span.as_millis() / period.as_millis() {
        leader.advance(period);
        leader.report(worker, running(runs));
    }
}

/// Recorded on recut-kill of clar-mill: a worker with 9.7 free cores was held for a task that needed 10
/// for 5 s, while tasks that needed 4.1 had not run for 40 s.
#[test]
fn a_long_running_task_that_waits_takes_the_room_held_for_a_larger_one() {
    let (mut leader, worker, runs) = hold_for_a_larger_one();
    leader.submit_as(LONG_RUNNING, long_running());
    advance(&mut leader, worker, &runs, Duration::from_millis(2_500));
    let starts = leader.take_starts();
    let started: Vec<u64> = starts.iter().map(|start| start.task.step.job.get()).collect();
    assert_eq!(started, [LONG_RUNNING]);
}

/// Held room that later tasks could take at once would never become enough for the larger one.
#[test]
fn a_long_running_task_that_has_just_come_leaves_the_room_held_for_a_larger_one() {
    let (mut leader, worker, runs) = hold_for_a_larger_one();
    leader.submit_as(LONG_RUNNING, long_running());
    advance(&mut leader, worker, &runs, Duration::from_millis(1_500));
    assert_eq!(leader.take_starts(), []);
}

/// A task of an earlier leader waits for room like any other once all runs of that leader are known.
#[test]
fn a_long_running_task_of_an_earlier_leader_does_not_wait_for_a_larger_one() {
    let (mut leader, worker, runs) = hold_for_a_larger_one();
    leader.submit_as(LONG_RUNNING, long_running());
    let mut leader = leader.into_next_leader();
    advance(&mut leader, worker, &runs, Duration::from_millis(3_000));
    let starts = leader.take_starts();
    let started: Vec<u64> = starts.iter().map(|start| start.task.step.job.get()).collect();
    assert_eq!(started, [LONG_RUNNING]);
}

/// Recorded on drain-kill of clar-mill-grown: a task that had failed did not run again for 17 s on a
/// full fleet.
#[test]
fn a_long_running_task_whose_run_has_ended_gets_its_room_back_from_a_larger_one() {
    const LARGER: u64 = 0x0bad_7000;
    for kind in [EndKind::Failed, EndKind::Lapsed, EndKind::Stopped] {
        let mut leader = Leader::new();
        let worker = leader.worker("v");
        leader.submit_as(LONG_RUNNING, long_running());
        leader.submit(spec(vec![step(6)]));
        let mut runs = leader.take_starts();
        assert_eq!(runs.len(), 7);
        for start in &runs.clone() {
            leader.started(start, StartAnswer::Started);
        }
        leader.submit_as(LARGER, long_running_of(10_000));
        advance(&mut leader, worker, &runs, Duration::from_millis(2_500));
        let long = runs.iter().position(|start| start.task.step.job.get() == LONG_RUNNING);
        let long = runs.remove(long.expect("the long-running task runs"));
        leader.report(worker, Report { ended: vec![long.end(1, kind)], ..running(&runs) });
        advance(&mut leader, worker, &runs, Duration::from_millis(2_500));
        let starts = leader.take_starts();
        let started: Vec<id::TaskId> = starts.iter().map(|start| start.task).collect();
        assert_eq!(started, [long.task], "after an end {kind:?}");
    }
}
