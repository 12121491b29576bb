use std::time::Duration;

use comfreymill_batch::action;
use comfreymill_batch::config;
use comfreymill_batch::event;
use comfreymill_types::id;

use super::Harness;
use crate::simulation::{FakeWorker, resources, task_view};

const LEASE: Duration = Duration::from_secs(10);

fn harness() -> (Harness, FakeWorker) {
    let cfg = config::Config::new().lease(LEASE).drift_ppm(10_000);
    let mut harness = Harness::new(cfg);
    let mut worker = FakeWorker::new(0, "hobart-a", resources(8, 32, 0));
    harness.heartbeat(&mut worker);
    (harness, worker)
}

fn was_lost(harness: &Harness) -> bool {
    let lost = |action: &action::Action| {
        matches!(action, action::Action::End { outcome: action::Outcome::Lost { .. }, .. })
    };
    harness.count(lost) > 0
}

fn report(
    harness: &mut Harness,
    worker: &mut FakeWorker,
    id: id::TaskId,
    state: &event::AttemptState,
) {
    for run in worker.runs.values_mut().filter(|run| run.attempt.task == id) {
        run.state = state.clone();
    }
    harness.heartbeat(worker);
}

#[test]
fn a_lease_runs_out_after_the_drift_bound_and_not_before() {
    let table = [(10_000, false), (10_100, false), (10_101, true), (30_000, true)];
    for (millis, expected) in table {
        let (mut harness, mut worker) = harness();
        harness.add(task_view(1, "issue", "check"));
        harness.heartbeat(&mut worker);
        harness.advance(Duration::from_millis(millis));
        assert_eq!(was_lost(&harness), expected, "after {millis} ms");
    }
}

#[test]
fn a_new_leader_counts_every_lease_anew() {
    let table = [(10_000, false), (10_100, false), (10_101, true)];
    for (millis, expected) in table {
        let (mut harness, mut worker) = harness();
        let view = task_view(1, "issue", "check");
        let attempt = event::AttemptView {
            id: id::AttemptId::new(view.id, id::AttemptNumber::new(1)),
            worker: worker.name.clone(),
            incarnation: worker.incarnation,
            reserved: resources(2, 4, 0),
        };
        harness.heartbeat(&mut worker);
        harness.advance(Duration::from_secs(9));
        let (tasks, attempts) = (vec![view], vec![attempt]);
        harness.send(event::Event::BecameLeader { tasks, attempts });
        harness.advance(Duration::from_millis(millis));
        assert_eq!(was_lost(&harness), expected, "{millis} ms after the change");
    }
}

#[test]
fn reports_of_earlier_incarnations_attempts_and_times_change_nothing() {
    let (mut harness, mut worker) = harness();
    let id = harness.add(task_view(1, "issue", "check"));
    harness.heartbeat(&mut worker);
    let first = id::AttemptId::new(id, id::AttemptNumber::new(1));
    let mut late = worker.heartbeat();
    late.attempts = vec![event::AttemptReport::new(first, event::AttemptState::Finished)];
    let mut old_incarnation = late.clone();
    harness.heartbeat(&mut worker);
    worker.restart();
    harness.heartbeat(&mut worker);
    harness.heartbeat(&mut worker);
    assert_eq!(harness.starts(id), 2);
    old_incarnation.sequence += 50;
    let mut old_attempt = worker.heartbeat();
    old_attempt.attempts = late.attempts.clone();
    old_attempt.attempts.push(event::AttemptReport::new(
        id::AttemptId::new(id, id::AttemptNumber::new(2)),
        event::AttemptState::Running,
    ));
    let before = harness.actions.len();
    for heartbeat in [late, old_incarnation, old_attempt] {
        harness.send(event::Event::WorkerHeartbeat(Box::new(heartbeat)));
    }
    assert_eq!(&harness.actions[before..], &[], "nothing was decided");
}

#[test]
fn a_heartbeat_behind_a_newer_one_gets_no_answer() {
    let (mut harness, mut worker) = harness();
    let older = worker.heartbeat();
    harness.heartbeat(&mut worker);
    let (incarnation, sequence) = (older.incarnation, older.sequence);
    harness.send(event::Event::WorkerHeartbeat(Box::new(older)));
    assert_eq!(harness.scheduler.desired(&worker.name, incarnation, sequence), None);
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
        let (mut harness, mut worker) = harness();
        let id = harness.add(task_view(1, "issue", class));
        harness.heartbeat(&mut worker);
        for run in worker.runs.values_mut() {
            run.saved = saved;
        }
        let label = format!("{class} with checkpoint {saved}: {state:?}");
        report(&mut harness, &mut worker, id, &state);
        harness.advance_with(3, std::slice::from_mut(&mut worker));
        assert_eq!(harness.starts(id), starts, "{label}");
        assert_eq!(harness.scheduler.get_park_reason(id).is_some(), parked, "{label}");
        let resumed = worker.runs.values().find(|run| run.attempt.number.get() == 2);
        assert_eq!(resumed.map_or(saved, |run| run.saved), saved, "{label}");
    }
}

#[test]
fn a_restart_of_the_worker_parks_only_what_may_run_at_most_once() {
    for (class, parked) in [("check", false), ("watch", false), ("certificate", true)] {
        let (mut harness, mut worker) = harness();
        let id = harness.add(task_view(1, "issue", class));
        harness.heartbeat(&mut worker);
        worker.restart();
        harness.heartbeat(&mut worker);
        assert_eq!(harness.scheduler.get_park_reason(id).is_some(), parked, "{class}");
        assert_eq!(harness.starts(id), if parked { 1 } else { 2 }, "{class}");
    }
}

#[test]
fn the_next_attempt_waits_for_the_commit_of_the_last_one() {
    let (mut harness, mut worker) = harness();
    let id = harness.add(task_view(1, "issue", "check"));
    harness.heartbeat(&mut worker);
    harness.auto_commit = false;
    let progress = event::Progress::PastCheckpoint;
    report(&mut harness, &mut worker, id, &event::AttemptState::Stopped { progress });
    harness.advance(Duration::from_secs(60));
    assert_eq!(harness.starts(id), 1);
}

#[test]
fn a_report_of_another_worker_changes_nothing() {
    let (mut harness, mut worker) = harness();
    let id = harness.add(task_view(1, "issue", "check"));
    harness.heartbeat(&mut worker);
    let mut other = FakeWorker::new(1, "hobart-a", resources(1, 1, 0));
    let mut heartbeat = other.heartbeat();
    let attempt = id::AttemptId::new(id, id::AttemptNumber::new(1));
    heartbeat.attempts = vec![event::AttemptReport::new(attempt, event::AttemptState::Finished)];
    harness.send(event::Event::WorkerHeartbeat(Box::new(heartbeat)));
    assert_eq!(harness.scheduler.get_status().active, 1, "it runs on");
}

#[test]
fn a_cancel_before_the_commit_of_a_start_is_kept() {
    let (mut harness, mut worker) = harness();
    harness.auto_commit = false;
    let id = harness.add(task_view(1, "issue", "check"));
    harness.send(event::Event::TaskCancelled(id));
    harness.auto_commit = true;
    let start = harness.actions.iter().find_map(|action| match action {
        action::Action::Start { attempt, .. } => Some(attempt.clone()),
        _ => None,
    });
    harness.send(event::Event::AttemptStarted(start.expect("it was proposed")));
    let assignments = harness.heartbeat(&mut worker);
    assert_eq!(assignments, [], "the answer does not list it");
    assert_eq!(harness.scheduler.get_status().active, 0);
}

#[test]
fn a_new_leader_keeps_the_greatest_recorded_incarnation() {
    let (mut harness, mut worker) = harness();
    let mut tasks = Vec::new();
    let mut attempts = Vec::new();
    for (job, incarnation) in [(1, 2), (2, 1)] {
        let view = task_view(job, "issue", "check");
        attempts.push(event::AttemptView {
            id: id::AttemptId::new(view.id, id::AttemptNumber::new(1)),
            worker: worker.name.clone(),
            incarnation: id::Incarnation::new(incarnation),
            reserved: resources(2, 4, 0),
        });
        tasks.push(view);
    }
    attempts.reverse();
    harness.send(event::Event::BecameLeader { tasks, attempts });
    let mut late = worker.heartbeat();
    late.incarnation = id::Incarnation::new(1);
    let (incarnation, sequence) = (late.incarnation, late.sequence);
    harness.send(event::Event::WorkerHeartbeat(Box::new(late)));
    assert!(!was_lost(&harness), "a heartbeat of an earlier incarnation is ignored");
    assert_eq!(harness.scheduler.desired(&worker.name, incarnation, sequence), None);
}
