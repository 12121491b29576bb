//! Jobs, workers and queues of odd sizes neither end a leader nor disturb the others.

use std::time::Duration;

use comfreymill_jobs::id::{JobKey, Run};
use comfreymill_jobs::job::{JobSpec, Schedule, StepSpec};
use comfreymill_jobs::scheduler::StartAnswer;
use comfreymill_jobs::state::Command;
use comfreymill_jobs::worker::{Report, Resources};

use crate::support::{Leader, Start, running, spec, step, task};

const HUGE: Resources = Resources { cpu_milli: u32::MAX, mem_mb: u32::MAX, gpus: u32::MAX };

/// Returns steps of each kind whose tasks need more than any worker should have.
fn huge_steps() -> Vec<StepSpec> {
    let plain = StepSpec { needs: HUGE, estimate_ms: u32::MAX, ..step(2) };
    let serving =
        StepSpec { tail_target_ms: Some(u32::MAX), is_long_running: true, ..plain.clone() };
    let filler = StepSpec { is_filler: true, ..plain.clone() };
    vec![plain, serving, filler]
}

/// An announcement had the largest capacity, and a job asked for as much.
#[test]
fn huge_and_empty_workers_and_tasks_are_counted() {
    let sizes = [Resources::default(), HUGE];
    for (size, odd_step) in
        sizes.iter().flat_map(|size| huge_steps().into_iter().map(|step| (*size, step)))
    {
        let mut leader = Leader::new();
        leader.worker("w");
        let mut odd = leader.announcement("odd", 10);
        odd.capacity = size;
        leader.announce(odd);
        leader.worker_reports_nothing("odd");
        leader.submit_as(1, spec(vec![odd_step]));
        leader.submit_as(2, spec(vec![step(1)]));
        let mut starts = leader.take_starts();
        assert!(starts.iter().any(|start| start.task.step.job == JobKey::new(2)), "{size:?}");
        for _ in 0..3 {
            for start in &starts {
                leader.started(start, StartAnswer::Started);
                let mut report = running(&[*start]);
                report.running[0].load = Some(u32::MAX);
                leader.report(start.worker, report);
            }
            leader.advance(Duration::from_secs(2));
            starts.extend(leader.take_starts());
        }
        let mut leader = leader.into_next_leader();
        for start in &starts {
            leader.report(start.worker, running(&[*start]));
        }
        leader.advance(Duration::from_secs(2));
    }
}

/// A worker reports that it runs a task of such a job, which it was never ordered to.
#[test]
fn huge_tasks_that_are_reported_are_counted() {
    for size in [1, 1_000] {
        let mut leader = Leader::new();
        let worker = leader.worker("w");
        leader.submit(spec(huge_steps()));
        let mut report = Report::default();
        for step in 0..3 {
            let start = Start { worker, task: task(step, 0), run: Run::new(size) };
            report.running.extend(running(&[start]).running);
        }
        leader.report(worker, report);
        leader.advance(Duration::from_secs(2));
    }
}

#[test]
fn a_queue_with_a_huge_time_allowed_ranks_its_tasks() {
    for (stretch, target_ms) in [(1e300, 0), (1.5, u64::MAX), (1e300, u64::MAX), (-1e300, 7)] {
        let mut leader = Leader::new();
        leader.worker("w");
        let mut table = leader.state.get_routes().expect("routes").table.clone();
        table.version += 1;
        table.queues[0].stretch = stretch;
        table.queues[0].target_latency_ms = target_ms;
        leader.commit(vec![Command::SetRoutes { table: Box::new(table), document: "{}".into() }]);
        leader.submit(spec(vec![step(1)]));
        assert_eq!(leader.take_starts().len(), 1, "{stretch}, {target_ms}");
    }
}

/// All occurrences were due at once, and the leader was busy with them until its memory was used
/// up, as was each leader after it.
#[test]
fn occurrences_that_are_due_at_once_begin_a_bounded_number_at_a_time() {
    for (first_unix_ms, interval_ms) in [(0, 0), (0, 1), (u64::MAX, u64::MAX)] {
        let schedule = Some(Schedule { count: u32::MAX, first_unix_ms, interval_ms });
        let mut leader = Leader::new();
        leader.worker("w");
        leader.submit(JobSpec { schedule, ..spec(vec![step(2_000)]) });
        let is_due = first_unix_ms == 0;
        let expected = if is_due { 8 } else { 0 };
        assert_eq!(leader.take_starts().len(), expected, "{schedule:?}");
        let mut leader = leader.into_next_leader();
        leader.advance(Duration::from_secs(10));
        leader.worker_reports_nothing("w");
        leader.advance(Duration::from_secs(1));
        assert_eq!(leader.take_starts().len(), expected, "{schedule:?}, next leader");
    }
}

/// The paths through all steps were computed anew for each task that became ready, and one such job
/// froze the leader.
#[test]
fn a_job_with_a_step_for_each_task_is_started_by_this_leader_and_the_next() {
    let mut leader = Leader::new();
    leader.worker("w");
    leader.submit(spec(vec![step(1); 10_000]));
    assert_eq!(leader.take_starts().len(), 8);
    let mut leader = leader.into_next_leader();
    leader.advance(Duration::from_millis(20));
    leader.worker_reports_nothing("w");
    leader.advance(Duration::from_millis(20));
    assert_eq!(leader.take_starts().len(), 8);
}

/// Returns the longest path from the start of a step, by trying all.
fn longest_path(steps: &[StepSpec], index: u16) -> u64 {
    let after = (0..).zip(steps).filter(|(_, step)| step.depends_on.contains(&index));
    let longest = after.map(|(after, _)| longest_path(steps, after)).max();
    u64::from(steps[usize::from(index)].estimate_ms) + longest.unwrap_or_default()
}

/// Tries all graphs of five steps.
#[test]
fn the_remaining_path_of_each_step_is_the_longest() {
    let edges: Vec<(u16, u16)> =
        (0..5).flat_map(|later| (0..later).map(move |earlier| (later, earlier))).collect();
    for graph in 0..1_u32 << edges.len() {
        let mut steps = vec![step(1); 5];
        for (step, estimate_ms) in steps.iter_mut().zip([700, 20, 0, 900, 5]) {
            step.estimate_ms = estimate_ms;
        }
        for (bit, (later, earlier)) in edges.iter().enumerate() {
            if graph >> bit & 1 == 1 {
                steps[usize::from(*later)].depends_on.push(*earlier);
            }
        }
        let expected: Vec<u64> = (0..5).map(|index| longest_path(&steps, index)).collect();
        assert_eq!(spec(steps).remaining_paths_ms(), expected, "{graph:b}");
    }
}
