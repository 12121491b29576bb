use std::time::Duration;

use comfreymill_batch::action;
use comfreymill_batch::config;
use comfreymill_types::id;

use super::Harness;
use crate::simulation::{Behaviour, FakeWorker, resources, task_view};

const PROGRAM: Behaviour =
    Behaviour { units: 5, checkpoint_every: None, can_checkpoint: true, fails: false };

fn harness(workers: &mut [FakeWorker]) -> Harness {
    let quarantine = config::Quarantine {
        tasks: 3,
        first_wait: Duration::from_secs(20),
        longest_wait: Duration::from_secs(80),
    };
    let mut harness = Harness::new(config::Config::new().quarantine(quarantine));
    harness.advance_with(6, workers);
    harness
}

fn fleet() -> [FakeWorker; 4] {
    let new = |i| FakeWorker::new(i, "hobart-a", resources(4, 16, 0));
    [new(0), new(1), new(2), new(3)]
}

/// Runs `secs` seconds in which workers run their programs; those of `broken` tasks fail.
fn run<F>(harness: &mut Harness, workers: &mut [FakeWorker], secs: u64, broken: F)
where
    F: Fn(id::TaskId) -> bool,
{
    for _ in 0..secs {
        for worker in &mut *workers {
            worker.work(1_000, |task| Behaviour { fails: broken(task), ..PROGRAM });
        }
        harness.advance_with(1, workers);
    }
}

fn is_quarantine(action: &action::Action) -> bool {
    matches!(action, action::Action::Quarantine { .. })
}

fn is_release(action: &action::Action) -> bool {
    matches!(action, action::Action::Release { .. })
}

#[test]
fn a_worker_that_fails_everything_is_quarantined_probed_and_released() {
    let mut workers = fleet();
    workers[1].fails_everything = true;
    let bad = workers[1].name.clone();
    let mut harness = harness(&mut workers);
    let ids: Vec<_> = (1..=40).map(|job| harness.add(task_view(job, "issue", "check"))).collect();
    run(&mut harness, &mut workers, 30, |_| false);
    assert_eq!(harness.scheduler.get_quarantined(), [bad]);
    assert_eq!(harness.count(is_quarantine), 1);
    run(&mut harness, &mut workers, 60, |_| false);
    let failed = |action: &action::Action| {
        matches!(action, action::Action::End { outcome: action::Outcome::Failed { .. }, .. })
    };
    assert!(harness.count(failed) <= 6, "few tasks were tried on it: {}", harness.count(failed));
    workers[1].fails_everything = false;
    for job in 101..=140 {
        harness.add(task_view(job, "issue", "check"));
    }
    run(&mut harness, &mut workers, 120, |_| false);
    assert_eq!(harness.count(is_release), 1, "released after a probe");
    assert_eq!(harness.scheduler.get_quarantined(), []);
    let parked = ids.iter().filter(|id| harness.scheduler.get_park_reason(**id).is_some()).count();
    assert_eq!(parked, 0, "no failure is attributed to a task");
    assert_eq!(harness.scheduler.get_status().waiting, 0);
}

#[test]
fn a_job_that_fails_everywhere_is_parked_and_no_worker_is_quarantined() {
    let mut workers = fleet();
    let mut harness = harness(&mut workers);
    let broken = |task: id::TaskId| task.job.get() <= 5;
    let ids: Vec<_> = (1..=20).map(|job| harness.add(task_view(job, "issue", "check"))).collect();
    run(&mut harness, &mut workers, 120, broken);
    for id in &ids[..5] {
        let reason = harness.scheduler.get_park_reason(*id);
        let parked = matches!(reason, Some(action::ParkReason::FailedRepeatedly { .. }));
        assert!(parked, "{id}: {reason:?}");
    }
    assert_eq!(harness.scheduler.get_status().parked, 5);
    assert_eq!(harness.scheduler.get_quarantined(), []);
}

#[test]
fn a_standing_task_is_moved_and_never_parked() {
    let mut workers = fleet();
    let mut harness = harness(&mut workers);
    let id = harness.add(task_view(1, "watchers", "watch"));
    run(&mut harness, &mut workers, 200, |_| true);
    assert_eq!(harness.scheduler.get_park_reason(id), None);
    assert!(harness.starts(id) > 4, "started {} times", harness.starts(id));
    run(&mut harness, &mut workers, 70, |_| false);
    let last = harness.started_on(id).expect("it started");
    assert!(workers.iter().any(|worker| worker.name == last));
}
