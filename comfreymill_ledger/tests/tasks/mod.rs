use comfreymill_ledger::command::{Command, Reply};
use comfreymill_ledger::job::{AttemptOutcome, Checkpoint, JobState, Parking, Progress, TaskState};
use comfreymill_types::error::ErrorKind;
use comfreymill_types::id;

use crate::support::{Fixture, attempt, is_refused, name, spec};

fn ended(progress: Progress) -> [AttemptOutcome; 3] {
    let reason = "no".to_owned();
    [
        AttemptOutcome::Failed { reason, progress },
        AttemptOutcome::Stopped { progress },
        AttemptOutcome::Lost { progress },
    ]
}

#[test]
fn a_resent_job_is_accepted_once() {
    let mut fixture = Fixture::default();
    let job = fixture.submit_job("k1", false);
    assert_eq!(fixture.submit_job("k1", false), job);
    let other = Command::SubmitJob { key: name("k1"), spec: spec(3), unrepeatable: false };
    let reply = fixture.apply(other);
    assert!(is_refused(&reply, ErrorKind::KeyReused), "{reply:?}");
    assert_eq!(fixture.ledger.get_jobs().len(), 1);
}

#[test]
fn a_job_has_a_bounded_number_of_tasks() {
    let mut fixture = Fixture::default();
    for tasks in [0, 10_001] {
        let key = name(&format!("k{tasks}"));
        let command = Command::SubmitJob { key, spec: spec(tasks), unrepeatable: false };
        let reply = fixture.apply(command);
        assert!(is_refused(&reply, ErrorKind::InvalidJob), "{reply:?}");
    }
}

#[test]
fn attempts_are_fenced_by_their_number() {
    let mut fixture = Fixture::default();
    let task = id::TaskId::new(fixture.submit_job("k", false), 0);
    for number in [0, 2, 3] {
        let reply = fixture.start(task, number, "w-1");
        assert!(is_refused(&reply, ErrorKind::Conflict), "{number}: {reply:?}");
    }
    assert_eq!(fixture.start(task, 1, "w-1"), Reply::Done);
    let concurrent = fixture.start(task, 2, "w-2");
    assert!(is_refused(&concurrent, ErrorKind::Conflict), "{concurrent:?}");
    fixture.end(task, 1, AttemptOutcome::Stopped { progress: Progress::NotBegun });
    assert_eq!(fixture.start(task, 2, "w-2"), Reply::Done);
    // Late reports about the first attempt change nothing.
    for outcome in [AttemptOutcome::Finished, AttemptOutcome::Lost { progress: Progress::NotBegun }]
    {
        let late = fixture.end(task, 1, outcome);
        assert!(is_refused(&late, ErrorKind::Conflict), "{late:?}");
    }
    assert!(matches!(fixture.state(task), TaskState::Running { .. }));
}

#[test]
fn an_unrepeatable_task_runs_again_only_if_no_work_is_repeated() {
    let cases = [
        (Progress::NotBegun, false, true),
        (Progress::NotBegun, true, true),
        (Progress::AtCheckpoint, true, true),
        (Progress::AtCheckpoint, false, false),
        (Progress::PastCheckpoint, true, false),
        (Progress::PastCheckpoint, false, false),
    ];
    for (progress, has_checkpoint, may_run) in cases {
        for outcome in ended(progress) {
            let mut fixture = Fixture::default();
            let task = id::TaskId::new(fixture.submit_job("k", true), 0);
            fixture.start(task, 1, "w-1");
            if has_checkpoint {
                let checkpoint = Checkpoint { sequence: 1, data: "half".into() };
                let attempt = attempt(task, 1);
                fixture.apply(Command::RecordCheckpoint { attempt, checkpoint });
            }
            fixture.end(task, 1, outcome.clone());
            let runs = *fixture.state(task) == TaskState::Waiting;
            assert_eq!(runs, may_run, "{outcome:?} with checkpoint: {has_checkpoint}");
            let parked = matches!(fixture.state(task), TaskState::Parked(_));
            assert_eq!(parked, !may_run, "{outcome:?}");
        }
    }
}

#[test]
fn a_repeatable_task_always_runs_again() {
    for progress in [Progress::NotBegun, Progress::AtCheckpoint, Progress::PastCheckpoint] {
        for outcome in ended(progress) {
            let mut fixture = Fixture::default();
            let task = id::TaskId::new(fixture.submit_job("k", false), 0);
            fixture.start(task, 1, "w-1");
            fixture.end(task, 1, outcome.clone());
            assert_eq!(*fixture.state(task), TaskState::Waiting, "{outcome:?}");
        }
    }
}

#[test]
fn an_older_checkpoint_never_replaces_a_later_one() {
    let mut fixture = Fixture::default();
    let task = id::TaskId::new(fixture.submit_job("k", false), 0);
    fixture.start(task, 1, "w-1");
    for sequence in [1, 2, 1] {
        let checkpoint = Checkpoint { sequence, data: sequence.to_string().into() };
        fixture.apply(Command::RecordCheckpoint { attempt: attempt(task, 1), checkpoint });
    }
    let recorded = fixture.ledger.get_task(task).expect("a task").checkpoint.clone();
    assert_eq!(recorded, Some(Checkpoint { sequence: 2, data: "2".into() }));
}

#[test]
fn a_cancelled_job_ends_with_its_last_attempt() {
    let mut fixture = Fixture::default();
    let job = fixture.submit_job("k", true);
    let running = id::TaskId::new(job, 0);
    fixture.start(running, 1, "w-1");
    for _ in 0..2 {
        assert_eq!(fixture.apply(Command::CancelJob { job }), Reply::Done);
        assert_eq!(fixture.ledger.get_jobs()[&job].get_state(), JobState::Active);
    }
    assert_eq!(*fixture.state(id::TaskId::new(job, 1)), TaskState::Cancelled);
    fixture.end(running, 1, AttemptOutcome::Stopped { progress: Progress::PastCheckpoint });
    assert_eq!(fixture.ledger.get_jobs()[&job].get_state(), JobState::Cancelled);
}

#[test]
fn a_key_is_recognized_after_its_job_was_dropped() {
    let mut fixture = Fixture::default();
    let first = fixture.submit_job("first", false);
    fixture.apply(Command::CancelJob { job: first });
    for number in 0..20_000 {
        let job = fixture.submit_job(&format!("k{number}"), false);
        fixture.apply(Command::CancelJob { job });
    }
    assert!(!fixture.ledger.get_jobs().contains_key(&first), "the oldest ended job was dropped");
    assert_eq!(fixture.submit_job("first", false), first);
    assert_eq!(fixture.ledger.get_jobs().len(), 20_000);
}

#[test]
fn a_parked_task_runs_after_its_release() {
    let mut fixture = Fixture::default();
    let task = id::TaskId::new(fixture.submit_job("k", false), 0);
    let parking = Parking { reason: "too large".to_owned(), cause: String::new() };
    fixture.apply(Command::ParkTask { task, parking });
    assert!(is_refused(&fixture.start(task, 1, "w-1"), ErrorKind::Conflict));
    assert_eq!(fixture.apply(Command::ReleaseTask { task }), Reply::Done);
    assert_eq!(fixture.start(task, 1, "w-1"), Reply::Done);
    let running = fixture.apply(Command::ReleaseTask { task });
    assert!(is_refused(&running, ErrorKind::Conflict), "{running:?}");
}
