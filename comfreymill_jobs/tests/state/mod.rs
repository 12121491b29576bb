//! Replicated state: repeated commands are harmless, and snapshots contain the whole state.

mod odd_bytes;
mod round_trip;

use comfreymill_jobs::state::{
    Command, CrashedRun, Effect, JobStatus, State, Submission, ZoneOrder,
};
use comfreymill_jobs::worker::{End, EndKind};
use comfreymill_jobs::{id, routes};

use crate::support::{KEY, announcement, spec, step, task};

fn submit() -> Command {
    let spec = spec(vec![step(2)]);
    let queue = "batch".to_owned();
    Command::Submit(Box::new(Submission { job: KEY, queue, max_attempts: 2, spec }))
}

fn submit_at() -> Command {
    let Command::Submit(submission) = submit() else { unreachable!("submit() submits") };
    Command::SubmitAt { submission, unix_ms: 1_700_000_000_000 }
}

fn add_worker() -> Command {
    Command::AddWorker { announced: Box::new(announcement("w", 1, 1)) }
}

fn note(number: u64, index: u16, run: u32, kind: EndKind) -> Command {
    let (task, run, checkpoint) = (task(0, index), id::Run::new(run), String::new());
    let ends = vec![End { number, task, run, kind, checkpoint }];
    Command::NoteEnds { worker: id::WorkerNumber::new(1), ends }
}

fn routes(version: u64, document: &'static str) -> Command {
    let table = routes::RouteTable { version, ..routes::RouteTable::default() };
    Command::SetRoutes { table: Box::new(table), document: document.into() }
}

fn state_of(commands: Vec<Command>) -> State {
    let mut state = State::default();
    for (index, command) in (1..).zip(commands) {
        state.apply(index, command);
    }
    state
}

#[test]
fn a_job_submitted_twice_is_added_once() {
    let mut state = state_of(vec![submit()]);
    assert_eq!(state.apply(2, submit()), Effect::None);
    assert_eq!(state.get_jobs().len(), 1);
}

#[test]
fn a_job_is_completed_by_the_last_of_its_tasks() {
    let done = |number, index| note(number, index, 1, EndKind::Done);
    let mut state = state_of(vec![add_worker(), submit(), done(1, 0)]);
    assert_eq!(state.get_jobs()[&KEY].status, JobStatus::Open);
    state.apply(4, done(2, 1));
    assert_eq!(state.get_jobs()[&KEY].status, JobStatus::Completed);
}

#[test]
fn an_end_that_is_reported_twice_counts_once() {
    let failed = |number, run| note(number, 0, run, EndKind::Failed);
    let mut state = state_of(vec![add_worker(), submit(), failed(1, 1), failed(1, 1)]);
    assert_eq!(state.get_jobs()[&KEY].status, JobStatus::Open);
    // The same incarnation was removed and added again, and reports its ends from the start.
    state.apply(5, Command::DropWorkers { workers: vec![id::WorkerNumber::new(1)] });
    state.apply(6, add_worker());
    let Command::NoteEnds { ends, .. } = failed(1, 1) else { unreachable!("failed() notes ends") };
    state.apply(7, Command::NoteEnds { worker: id::WorkerNumber::new(2), ends });
    assert_eq!(state.get_jobs()[&KEY].status, JobStatus::Open, "the same failed run counts once");
}

#[test]
fn a_job_fails_when_a_task_reaches_max_attempts() {
    let failed = |number, run| note(number, 0, run, EndKind::Failed);
    let state = state_of(vec![add_worker(), submit(), failed(1, 1), failed(2, 2)]);
    assert_eq!(state.get_jobs()[&KEY].status, JobStatus::Failed);
}

#[test]
fn only_a_higher_version_of_the_routes_takes_effect() {
    let mut state = state_of(vec![routes(7, "seven")]);
    for (version, document) in [(7, "other"), (6, "older")] {
        assert_eq!(state.apply(2, routes(version, document)), Effect::None);
        assert_eq!(state.get_routes().expect("routes").document, "seven");
    }
    assert_eq!(state.apply(3, routes(9, "nine")), Effect::RoutesChanged);
}

#[test]
fn cancelling_an_unknown_job_differs_from_cancelling_twice() {
    let mut state = state_of(vec![]);
    let unknown = id::JobKey::new(7);
    assert_eq!(state.apply(1, Command::Cancel { job: unknown }), Effect::NoSuchJob(unknown));
    assert_eq!(state.apply(2, Command::Cancel { job: unknown }), Effect::NoSuchJob(unknown));
    state.apply(2, submit());
    assert_eq!(state.apply(3, Command::Cancel { job: KEY }), Effect::JobCancelled(KEY));
    assert_eq!(state.apply(4, Command::Cancel { job: KEY }), Effect::None);
}

#[test]
fn a_snapshot_holds_the_whole_state() {
    let failed = note(1, 0, 1, EndKind::Failed);
    let state = state_of(vec![Command::Lead, routes(3, "doc"), add_worker(), submit_at(), failed]);
    assert_eq!(state.get_accepted_unix_ms(KEY), Some(1_700_000_000_000));
    let data = state.to_snapshot().expect("encoded");
    assert_eq!(State::from_snapshot(&data).expect("decoded"), state);
    assert!(State::from_snapshot(&data[..data.len() / 2]).is_err());
}

/// What is remembered of removed workers has a bound, and is in the snapshot.
#[test]
fn names_of_removed_workers_are_kept_up_to_a_bound() {
    let names: Vec<id::WorkerName> =
        (0..1_100).map(|number| id::WorkerName::new(&format!("w-{number}"))).collect();
    let add = |name: &id::WorkerName| {
        let Command::AddWorker { mut announced } = add_worker() else { unreachable!() };
        announced.name = name.clone();
        Command::AddWorker { announced }
    };
    let mut state = State::default();
    for (name, number) in names.iter().zip(1..) {
        state.apply(u64::from(number), add(name));
        let workers = vec![id::WorkerNumber::new(number)];
        state.apply(u64::from(number), Command::DropWorkers { workers });
    }
    let data = state.to_snapshot().expect("encoded");
    let mut state = State::from_snapshot(&data).expect("decoded");
    let mut is_restarted = |name: &id::WorkerName, number: u32| {
        state.apply(u64::from(number), add(name));
        state.is_restarted(id::WorkerNumber::new(number))
    };
    assert!(is_restarted(&names[1_099], 1_101));
    assert!(!is_restarted(&names[0], 1_102), "it is the oldest of more than 1,024");
}

#[test]
fn a_snapshot_without_leaving_workers_and_crashes_is_read() {
    let state = state_of(vec![add_worker(), submit()]);
    let data = state.to_snapshot().expect("the state is encoded");
    // Each of the eleven fields that were added later takes one byte if it is empty.
    for missing in 1..=11 {
        let earlier = &data[..data.len() - missing];
        assert_eq!(State::from_snapshot(earlier).expect("the state is decoded"), state);
    }
    assert!(State::from_snapshot(&data[..data.len() - 12]).is_err());
}

fn zone_order(operator: &str, revision: u64) -> Box<ZoneOrder> {
    let zone = "south".parse().expect("a zone name");
    Box::new(ZoneOrder { zone, operator: operator.to_owned(), unix_ms: 7, revision })
}

#[test]
fn an_evacuation_and_its_withdrawal_are_recorded_once() {
    let zone: id::ZoneName = "south".parse().expect("a zone name");
    let changed = Effect::EvacuationChanged(zone.clone());
    let mut state = State::default();
    let evacuate = |operator, revision| Command::Evacuate(zone_order(operator, revision));
    let withdraw = |operator, revision| Command::WithdrawEvacuation(zone_order(operator, revision));
    assert_eq!(state.apply(1, withdraw("ines", 0)), Effect::None, "it is not evacuated");
    assert_eq!(state.apply(2, evacuate("ines", 0)), changed);
    assert_eq!(state.apply(3, evacuate("ines", 0)), Effect::None, "sent again");
    assert_eq!(state.get_evacuations().evacuated().collect::<Vec<_>>(), [&zone]);
    assert_eq!(state.apply(4, withdraw("noor", 1)), changed);
    assert_eq!(state.apply(5, withdraw("noor", 1)), Effect::None, "sent again");
    let record = state.get_evacuations().get(&zone).expect("a record");
    assert_eq!(record.evacuated, None);
    assert_eq!(record.withdrawn.as_ref().expect("withdrawn").operator, "noor");
    let data = state.to_snapshot().expect("encoded");
    assert_eq!(State::from_snapshot(&data).expect("decoded"), state);
}

#[test]
fn an_order_that_was_delayed_does_not_undo_a_later_one() {
    let zone: id::ZoneName = "south".parse().expect("a zone name");
    let superseded = Effect::ZoneOrderSuperseded(zone.clone());
    let evacuate = |revision| Command::Evacuate(zone_order("ines", revision));
    let withdraw = |revision| Command::WithdrawEvacuation(zone_order("ines", revision));
    let mut state = state_of(vec![evacuate(0), withdraw(1), evacuate(2)]);
    assert_eq!(state.apply(4, withdraw(1)), superseded, "received before the second evacuation");
    assert_eq!(state.get_evacuations().evacuated().collect::<Vec<_>>(), [&zone]);
    state.apply(5, withdraw(3));
    assert_eq!(state.apply(6, evacuate(0)), superseded);
    assert_eq!(state.get_evacuations().evacuated().count(), 0);
}

/// A crash that others explain is noted under run 0, which earlier builds do not count.
#[test]
fn an_explained_crash_is_counted_apart_and_once_for_each_worker() {
    let task = task(0, 0);
    let worker = id::WorkerNumber::new(1);
    let runs = vec![CrashedRun::explained(task)];
    assert_eq!(runs[0].run, id::Run::new(0));
    let crash = Command::NoteCrash { worker, runs, given_up: vec![] };
    let mut state = state_of(vec![submit(), add_worker(), crash.clone(), crash]);
    let counts =
        |state: &State| (state.get_crashes(task).crashes, state.get_explained_crashes(task));
    assert_eq!(counts(&state), (0, 1));
    assert_eq!(state.get_crashed_tasks(KEY).len(), 1);
    let data = state.to_snapshot().expect("encoded");
    assert_eq!(State::from_snapshot(&data).expect("decoded"), state);
    state.apply(100, Command::Cancel { job: KEY });
    assert_eq!(counts(&state), (0, 0), "it is kept while the job is open");
}
