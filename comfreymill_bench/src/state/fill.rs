use bytes::Bytes;
use comfreymill_ledger::command::{Command, Reply};
use comfreymill_ledger::job;
use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::size;

use super::log::{Cost, Log};
use super::{Size, names};

const CHECKPOINT_BYTES: usize = 64;
const PAYLOAD: &str = "{\"register\":\"tas-south\",\"hulls\":\"17000-17249\",\"form\":\"B4\"}";

/// Costs of the applied commands, by kind.
#[derive(Debug, Default)]
pub(super) struct Costs {
    pub(super) document: Cost,
    pub(super) job: Cost,
    pub(super) start: Cost,
    pub(super) checkpoint: Cost,
    pub(super) end: Cost,
}

/// Submits and promotes a version of the document.
pub(super) fn add_document(log: &mut Log, size: Size, version: u64, costs: &mut Costs) {
    let submit = Command::SubmitDocument {
        operation: names::name(&format!("submit-{version}")),
        environment: names::environment(),
        version: id::Version::new(version),
        replaces: id::Version::new(version - 1),
        text: names::document(size.teams, version),
    };
    let reply = log.apply(submit, &mut costs.document);
    let Reply::Document { digest, .. } = reply else {
        panic!("the ledger rejected a document: {reply:?}")
    };
    let promote = Command::PromoteDocument {
        operation: names::name(&format!("promote-{version}")),
        environment: names::environment(),
        digest,
    };
    log.apply(promote, &mut Cost::default());
}

/// Adds jobs and starts some of their tasks, each with one recorded checkpoint. Returns the
/// running attempts.
pub(super) fn add_jobs(log: &mut Log, size: Size, costs: &mut Costs) -> Vec<id::AttemptId> {
    let mut running = Vec::with_capacity(size.running);
    for number in 0..size.jobs {
        let tasks = size.tasks * (number + 1) / size.jobs - size.tasks * number / size.jobs;
        let job = add_job(log, size, number, tasks as u32, costs);
        for index in 0..tasks as u32 {
            if running.len() < size.running {
                let task = id::TaskId::new(job, index);
                running.push(start(log, task, running.len() % size.workers, costs));
            }
        }
    }
    running
}

/// Ends attempts as finished.
pub(super) fn end_all(log: &mut Log, attempts: &[id::AttemptId], costs: &mut Costs) {
    for attempt in attempts {
        let outcome = job::AttemptOutcome::Finished;
        let end =
            Command::EndAttempt { attempt: *attempt, outcome, checkpoint: None, parking: None };
        log.apply(end, &mut costs.end);
    }
}

fn add_job(log: &mut Log, size: Size, number: usize, tasks: u32, costs: &mut Costs) -> id::JobId {
    let spec = job::JobSpec {
        environment: names::environment(),
        stage: document::Stage::Production,
        team: names::name(&names::team(number % size.teams.max(1))),
        class: names::name("certificate-batch"),
        tasks,
        size: None,
        payload: PAYLOAD.to_owned(),
    };
    let key = names::name(&format!("certificates-2026-12-04-{number:06}"));
    let submit = Command::SubmitJob { key, spec, unrepeatable: true };
    match log.apply(submit, &mut costs.job) {
        Reply::Job { job } => job,
        reply => panic!("the ledger rejected a job: {reply:?}"),
    }
}

fn start(log: &mut Log, task: id::TaskId, worker: usize, costs: &mut Costs) -> id::AttemptId {
    let attempt = id::AttemptId::new(task, id::AttemptNumber::new(1));
    let start = Command::StartAttempt {
        attempt,
        worker: names::worker(worker),
        incarnation: id::Incarnation::new(1_780_000_000_000_000),
        reserved: size::Resources::new(1_000, 4_000_000_000, 0),
    };
    log.apply(start, &mut costs.start);
    let data = Bytes::from(vec![7; CHECKPOINT_BYTES]);
    let checkpoint = job::Checkpoint { sequence: 1, data };
    log.apply(Command::RecordCheckpoint { attempt, checkpoint }, &mut costs.checkpoint);
    attempt
}
