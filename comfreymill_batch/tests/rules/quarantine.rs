use std::time::Duration;

use comfreymill_batch::action;
use comfreymill_batch::config;
use comfreymill_types::id;

use super::Desk;
use crate::world::{Behaviour, FakeWorker, resources, task_view};

const PROGRAM: Behaviour =
    Behaviour { units: 5, checkpoint_every: None, can_checkpoint: true, fails: false };

fn desk(workers: &mut [FakeWorker]) -> Desk {
    let quarantine = config::Quarantine {
        tasks: 3,
        first_wait: Duration::from_secs(20),
        longest_wait: Duration::from_secs(80),
    };
    let mut desk = Desk::new(config::Config::new().quarantine(quarantine));
    desk.pass_with(6, workers);
    desk
}

fn fleet() -> [FakeWorker; 4] {
    let new = |i| FakeWorker::new(i, "hobart-a", resources(4, 16, 0));
    [new(0), new(1), new(2), new(3)]
}

/// Runs `secs` seconds in which workers run their programs; those of `broken` tasks fail.
fn run<F>(desk: &mut Desk, workers: &mut [FakeWorker], secs: u64, broken: F)
where
    F: Fn(id::TaskId) -> bool,
{
    for _ in 0..secs {
        for worker in &mut *workers {
            worker.work(1_000, |task| Behaviour { fails: broken(task), ..PROGRAM });
        }
        desk.pass_with(1, workers);
    }
}

fn is_quarantine(action: &action::Action) -> bool {
    matches!(action, action::Action::Quarantine { .. })
}

fn is_release(action: &action::Action) -> bool {
    matches!(action, action::Action::Release { .. })
}

#[test]
fn a_worker_that_fails_everything_is_set_aside_probed_and_let_back() {
    let mut workers = fleet();
    workers[1].fails_everything = true;
    let bad = workers[1].name.clone();
    let mut desk = desk(&mut workers);
    let ids: Vec<_> = (1..=40).map(|job| desk.add(task_view(job, "issue", "check"))).collect();
    run(&mut desk, &mut workers, 30, |_| false);
    assert_eq!(desk.scheduler.get_quarantined(), [bad]);
    assert_eq!(desk.count(is_quarantine), 1);
    run(&mut desk, &mut workers, 60, |_| false);
    let failed = |action: &action::Action| {
        matches!(action, action::Action::End { outcome: action::Outcome::Failed { .. }, .. })
    };
    assert!(desk.count(failed) <= 6, "few tasks were tried on it: {}", desk.count(failed));
    workers[1].fails_everything = false;
    for job in 101..=140 {
        desk.add(task_view(job, "issue", "check"));
    }
    run(&mut desk, &mut workers, 120, |_| false);
    assert_eq!(desk.count(is_release), 1, "released after a probe");
    assert_eq!(desk.scheduler.get_quarantined(), []);
    let parked = ids.iter().filter(|id| desk.scheduler.get_park_reason(**id).is_some()).count();
    assert_eq!(parked, 0, "no failure is attributed to a task");
    assert_eq!(desk.scheduler.get_status().waiting, 0);
}

#[test]
fn a_job_that_fails_everywhere_is_parked_and_no_worker_blamed() {
    let mut workers = fleet();
    let mut desk = desk(&mut workers);
    let broken = |task: id::TaskId| task.job.get() <= 5;
    let ids: Vec<_> = (1..=20).map(|job| desk.add(task_view(job, "issue", "check"))).collect();
    run(&mut desk, &mut workers, 120, broken);
    for id in &ids[..5] {
        let reason = desk.scheduler.get_park_reason(*id);
        let parked = matches!(reason, Some(action::ParkReason::FailedRepeatedly { .. }));
        assert!(parked, "{id}: {reason:?}");
    }
    assert_eq!(desk.scheduler.get_status().parked, 5);
    assert_eq!(desk.scheduler.get_quarantined(), []);
}

#[test]
fn a_standing_task_is_moved_and_never_parked() {
    let mut workers = fleet();
    let mut desk = desk(&mut workers);
    let id = desk.add(task_view(1, "watchers", "watch"));
    run(&mut desk, &mut workers, 200, |_| true);
    assert_eq!(desk.scheduler.get_park_reason(id), None);
    assert!(desk.starts(id) > 4, "started {} times", desk.starts(id));
    run(&mut desk, &mut workers, 70, |_| false);
    let last = desk.started_on(id).expect("it started");
    assert!(workers.iter().any(|worker| worker.name == last));
}
