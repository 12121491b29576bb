//! A job that is cancelled before its submission arrives does not run.

use std::time::Duration;

use comfreymill_jobs::id::JobKey;
use comfreymill_jobs::scheduler::Config;
use comfreymill_jobs::state::{Command, Effect, JobStatus, State};

use crate::support::{KEY, LEASE, Leader, spec, step};

/// Time for which the outcome of a job is retained.
const RETENTION: Duration = Duration::from_secs(120);

fn leader() -> Leader {
    let mut leader = Leader::with_config(Config::new(LEASE).outcome_retention(RETENTION));
    leader.worker("w");
    leader
}

fn cancel(leader: &mut Leader) {
    leader.commit(vec![Command::Cancel { job: KEY }]);
    leader.settle();
}

fn assert_never_runs(leader: &mut Leader) {
    leader.submit(spec(vec![step(2)]));
    leader.advance(Duration::from_millis(200));
    assert!(leader.take_starts().is_empty());
    assert_eq!(leader.state.get_jobs()[&KEY].status, JobStatus::Cancelled);
}

/// The case that the review found: a gateway that was frozen passed a submission on after its caller
/// had cancelled the job at another one.
#[test]
fn a_submission_that_arrives_after_its_cancellation_does_not_run() {
    let mut leader = leader();
    cancel(&mut leader);
    assert!(leader.state.get_jobs().is_empty());
    leader.advance(Duration::from_secs(8));
    assert_never_runs(&mut leader);
    // A copy of it arrives as well, from another gateway.
    assert_never_runs(&mut leader);
}

#[test]
fn the_next_leader_knows_what_was_cancelled_before_it_was_submitted() {
    let mut leader = leader();
    cancel(&mut leader);
    let data = leader.state.to_snapshot().expect("the state is encoded");
    let state = State::from_snapshot(&data).expect("the state is decoded");
    assert_eq!(state, leader.state);
    let mut next = Leader::from_state(state, leader.now).into_next_leader();
    next.worker_reports_nothing("w");
    assert_never_runs(&mut next);
}

#[test]
fn a_submission_and_its_cancellation_in_one_log_entry_have_the_same_outcome_in_either_order() {
    for is_cancelled_first in [false, true] {
        let mut leader = leader();
        leader.holds_commits = true;
        if is_cancelled_first {
            cancel(&mut leader);
        }
        leader.submit(spec(vec![step(1)]));
        if !is_cancelled_first {
            cancel(&mut leader);
        }
        leader.release_commits();
        assert_eq!(leader.state.get_jobs()[&KEY].status, JobStatus::Cancelled);
        assert!(!leader.state.get_cancellations().contains(KEY));
    }
}

#[test]
fn a_cancellation_is_kept_as_long_as_the_outcome_of_a_job() {
    let mut leader = leader();
    cancel(&mut leader);
    leader.advance(RETENTION / 2);
    cancel(&mut leader);
    leader.advance(RETENTION - Duration::from_secs(1));
    assert!(leader.state.get_cancellations().contains(KEY), "it was sent again");
    leader.advance(Duration::from_secs(2));
    assert!(!leader.state.get_cancellations().contains(KEY));
    leader.submit(spec(vec![step(1)]));
    assert_eq!(leader.state.get_jobs()[&KEY].status, JobStatus::Open);
}

#[test]
fn the_outcome_of_a_job_that_was_cancelled_before_is_kept_from_its_submission_on() {
    let mut leader = leader();
    cancel(&mut leader);
    leader.advance(RETENTION / 2);
    assert_never_runs(&mut leader);
    leader.advance(RETENTION - Duration::from_secs(1));
    assert!(leader.state.get_jobs().contains_key(&KEY));
    leader.advance(Duration::from_secs(2));
    assert!(!leader.state.get_jobs().contains_key(&KEY));
}

/// A new leader restarts the time, so that what earlier leaders kept is dropped at last.
#[test]
fn the_next_leader_forgets_cancellations_in_time() {
    let mut leader = leader();
    cancel(&mut leader);
    let mut next = leader.into_next_leader();
    next.settle();
    next.advance(RETENTION + Duration::from_secs(1));
    assert!(!next.state.get_cancellations().contains(KEY));
}

#[test]
fn the_number_of_cancellations_is_bounded() {
    let mut state = State::default();
    let number = 20_000;
    for index in 1..=number {
        // The keys fall while the log index rises.
        let job = JobKey::new(number - index);
        assert_eq!(state.apply(index, Command::Cancel { job }), Effect::NoSuchJob(job));
    }
    assert_eq!(state.get_cancellations().iter().count(), 16_384);
    assert!(state.get_cancellations().contains(JobKey::new(0)), "the latest is kept");
    assert!(!state.get_cancellations().contains(JobKey::new(number - 1)), "the oldest is not");
}
