use std::time::Duration;

use comfreymill_batch::action;
use comfreymill_batch::config;
use comfreymill_batch::event;
use comfreymill_types::id;

use super::Desk;
use crate::world::{FakeWorker, resources, task_view};

const LEASE: Duration = Duration::from_secs(10);

fn desk() -> (Desk, FakeWorker) {
    let cfg = config::Config::new().lease(LEASE).drift_ppm(10_000);
    let mut desk = Desk::new(cfg);
    let mut worker = FakeWorker::new(0, "hobart-a", resources(8, 32, 0));
    desk.beat(&mut worker);
    (desk, worker)
}

fn was_lost(desk: &Desk) -> bool {
    let lost = |action: &action::Action| {
        matches!(action, action::Action::End { outcome: action::Outcome::Lost { .. }, .. })
    };
    desk.count(lost) > 0
}

fn report(desk: &mut Desk, worker: &mut FakeWorker, id: id::TaskId, state: &event::AttemptState) {
    for run in worker.runs.values_mut().filter(|run| run.attempt.task == id) {
        run.state = state.clone();
    }
    desk.beat(worker);
}

#[test]
fn a_lease_runs_out_after_the_drift_bound_and_not_before() {
    let table = [(10_000, false), (10_100, false), (10_101, true), (30_000, true)];
    for (millis, expected) in table {
        let (mut desk, mut worker) = desk();
        desk.add(task_view(1, "issue", "check"));
        desk.beat(&mut worker);
        desk.pass(Duration::from_millis(millis));
        assert_eq!(was_lost(&desk), expected, "after {millis} ms");
    }
}

#[test]
fn a_new_leader_counts_every_lease_anew() {
    let table = [(10_000, false), (10_100, false), (10_101, true)];
    for (millis, expected) in table {
        let (mut desk, mut worker) = desk();
        let view = task_view(1, "issue", "check");
        let attempt = event::AttemptView {
            id: id::AttemptId::new(view.id, id::AttemptNumber::new(1)),
            worker: worker.name.clone(),
            incarnation: worker.incarnation,
            reserved: resources(2, 4, 0),
        };
        desk.beat(&mut worker);
        desk.pass(Duration::from_secs(9));
        let (tasks, attempts) = (vec![view], vec![attempt]);
        desk.tell(event::Event::BecameLeader { tasks, attempts });
        desk.pass(Duration::from_millis(millis));
        assert_eq!(was_lost(&desk), expected, "{millis} ms after the change");
    }
}

#[test]
fn reports_of_earlier_lives_attempts_and_moments_change_nothing() {
    let (mut desk, mut worker) = desk();
    let id = desk.add(task_view(1, "issue", "check"));
    desk.beat(&mut worker);
    let first = id::AttemptId::new(id, id::AttemptNumber::new(1));
    let mut late = worker.heartbeat();
    late.attempts = vec![event::AttemptReport::new(first, event::AttemptState::Finished)];
    let mut old_life = late.clone();
    desk.beat(&mut worker);
    worker.restart();
    desk.beat(&mut worker);
    desk.beat(&mut worker);
    assert_eq!(desk.starts(id), 2);
    old_life.sequence += 50;
    let mut old_attempt = worker.heartbeat();
    old_attempt.attempts = late.attempts.clone();
    old_attempt.attempts.push(event::AttemptReport::new(
        id::AttemptId::new(id, id::AttemptNumber::new(2)),
        event::AttemptState::Running,
    ));
    let before = desk.actions.len();
    for heartbeat in [late, old_life, old_attempt] {
        desk.tell(event::Event::WorkerHeartbeat(Box::new(heartbeat)));
    }
    assert_eq!(&desk.actions[before..], &[], "nothing was decided");
}

#[test]
fn a_heartbeat_behind_a_newer_one_gets_no_answer() {
    let (mut desk, mut worker) = desk();
    let older = worker.heartbeat();
    desk.beat(&mut worker);
    let (incarnation, sequence) = (older.incarnation, older.sequence);
    desk.tell(event::Event::WorkerHeartbeat(Box::new(older)));
    assert_eq!(desk.scheduler.desired(&worker.name, incarnation, sequence), None);
}

#[test]
fn what_may_have_taken_effect_is_parked_and_the_rest_runs_again() {
    use event::AttemptState::{Failed, Finished, Stopped};
    use event::Progress::{AtCheckpoint, NotBegun, PastCheckpoint};
    let failed = |progress| Failed { reason: "broken".to_owned(), progress };
    let stopped = |progress| Stopped { progress };
    // Class, units in the checkpoint, final state, expected starts, whether the task is parked.
    let table = [
        ("certificate", 0, Finished, 1, false),
        ("certificate", 0, stopped(NotBegun), 2, false),
        ("certificate", 0, stopped(AtCheckpoint), 1, true),
        ("certificate", 0, stopped(PastCheckpoint), 1, true),
        ("certificate", 3, stopped(AtCheckpoint), 2, false),
        ("certificate", 3, stopped(PastCheckpoint), 1, true),
        ("certificate", 3, failed(PastCheckpoint), 1, true),
        ("check", 0, Finished, 1, false),
        ("check", 0, stopped(PastCheckpoint), 2, false),
        ("check", 3, stopped(PastCheckpoint), 2, false),
        ("watch", 0, Finished, 2, false),
        ("watch", 0, stopped(PastCheckpoint), 2, false),
    ];
    for (class, saved, state, starts, parked) in table {
        let (mut desk, mut worker) = desk();
        let id = desk.add(task_view(1, "issue", class));
        desk.beat(&mut worker);
        for run in worker.runs.values_mut() {
            run.saved = saved;
        }
        let label = format!("{class} with checkpoint {saved}: {state:?}");
        report(&mut desk, &mut worker, id, &state);
        desk.pass_with(3, std::slice::from_mut(&mut worker));
        assert_eq!(desk.starts(id), starts, "{label}");
        assert_eq!(desk.scheduler.get_park_reason(id).is_some(), parked, "{label}");
        let resumed = worker.runs.values().find(|run| run.attempt.number.get() == 2);
        assert_eq!(resumed.map_or(saved, |run| run.saved), saved, "{label}");
    }
}

#[test]
fn a_restart_of_the_worker_parks_only_what_may_run_at_most_once() {
    for (class, parked) in [("check", false), ("watch", false), ("certificate", true)] {
        let (mut desk, mut worker) = desk();
        let id = desk.add(task_view(1, "issue", class));
        desk.beat(&mut worker);
        worker.restart();
        desk.beat(&mut worker);
        assert_eq!(desk.scheduler.get_park_reason(id).is_some(), parked, "{class}");
        assert_eq!(desk.starts(id), if parked { 1 } else { 2 }, "{class}");
    }
}

#[test]
fn the_next_attempt_waits_for_the_commit_of_the_last_one() {
    let (mut desk, mut worker) = desk();
    let id = desk.add(task_view(1, "issue", "check"));
    desk.beat(&mut worker);
    desk.commits = false;
    let progress = event::Progress::PastCheckpoint;
    report(&mut desk, &mut worker, id, &event::AttemptState::Stopped { progress });
    desk.pass(Duration::from_secs(60));
    assert_eq!(desk.starts(id), 1);
}

#[test]
fn a_report_of_another_worker_changes_nothing() {
    let (mut desk, mut worker) = desk();
    let id = desk.add(task_view(1, "issue", "check"));
    desk.beat(&mut worker);
    let mut other = FakeWorker::new(1, "hobart-a", resources(1, 1, 0));
    let mut heartbeat = other.heartbeat();
    let attempt = id::AttemptId::new(id, id::AttemptNumber::new(1));
    heartbeat.attempts = vec![event::AttemptReport::new(attempt, event::AttemptState::Finished)];
    desk.tell(event::Event::WorkerHeartbeat(Box::new(heartbeat)));
    assert_eq!(desk.scheduler.get_status().active, 1, "it runs on");
}

#[test]
fn a_cancel_before_the_commit_of_a_start_is_kept() {
    let (mut desk, mut worker) = desk();
    desk.commits = false;
    let id = desk.add(task_view(1, "issue", "check"));
    desk.tell(event::Event::TaskCancelled(id));
    desk.commits = true;
    let start = desk.actions.iter().find_map(|action| match action {
        action::Action::Start { attempt, .. } => Some(attempt.clone()),
        _ => None,
    });
    desk.tell(event::Event::AttemptStarted(start.expect("it was proposed")));
    let assignments = desk.beat(&mut worker);
    assert_eq!(assignments, [], "the worker is told nothing of it");
    assert_eq!(desk.scheduler.get_status().active, 0);
}

#[test]
fn a_new_leader_keeps_the_greatest_life_on_record() {
    let (mut desk, mut worker) = desk();
    let mut tasks = Vec::new();
    let mut attempts = Vec::new();
    for (job, life) in [(1, 2), (2, 1)] {
        let view = task_view(job, "issue", "check");
        attempts.push(event::AttemptView {
            id: id::AttemptId::new(view.id, id::AttemptNumber::new(1)),
            worker: worker.name.clone(),
            incarnation: id::Incarnation::new(life),
            reserved: resources(2, 4, 0),
        });
        tasks.push(view);
    }
    attempts.reverse();
    desk.tell(event::Event::BecameLeader { tasks, attempts });
    let mut late = worker.heartbeat();
    late.incarnation = id::Incarnation::new(1);
    let (incarnation, sequence) = (late.incarnation, late.sequence);
    desk.tell(event::Event::WorkerHeartbeat(Box::new(late)));
    assert!(!was_lost(&desk), "a heartbeat of an earlier incarnation is ignored");
    assert_eq!(desk.scheduler.desired(&worker.name, incarnation, sequence), None);
}
