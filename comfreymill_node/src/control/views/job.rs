use bytes::Bytes;
use comfreymill_batch::decision;
use comfreymill_ledger::job;
use comfreymill_ledger::ledger;
use comfreymill_types::document;
use comfreymill_types::error;
use comfreymill_types::id;

use super::to_json;
use crate::control::leader::Leader;

#[derive(serde::Serialize)]
struct JobView<'a> {
    job: id::JobId,
    key: &'a id::IdempotencyKey,
    environment: &'a id::EnvironmentName,
    stage: document::Stage,
    team: &'a id::TeamName,
    class: &'a id::ClassName,
    state: job::JobState,
    unrepeatable: bool,
    finished: usize,
    tasks: Vec<TaskView<'a>>,
}

#[derive(serde::Serialize)]
struct TaskView<'a> {
    task: id::TaskId,
    state: &'a job::TaskState,
    last_attempt: id::AttemptNumber,
    /// Sequence number of the last recorded checkpoint.
    checkpoint: Option<u64>,
    failed_on: &'a [id::WorkerName],
}

#[derive(serde::Serialize)]
struct JobRow<'a> {
    job: id::JobId,
    team: &'a id::TeamName,
    class: &'a id::ClassName,
    state: job::JobState,
    tasks: usize,
    finished: usize,
}

#[derive(serde::Serialize)]
struct Explanation<'a> {
    task: TaskView<'a>,
    decisions: Vec<decision::Record>,
}

/// Returns a job with its tasks.
pub(in crate::control) fn job(
    ledger: &ledger::Ledger,
    id: id::JobId,
) -> Result<Bytes, error::Error> {
    let job = ledger.get_jobs().get(&id).ok_or_else(|| {
        let message = format!("there is no job {id}, or it ended long ago");
        error::Error::new(error::ErrorKind::NotFound, message).field("job")
    })?;
    let numbered = (0..).zip(&job.tasks);
    let tasks = numbered.map(|(index, task)| task_view(id::TaskId::new(id, index), task));
    Ok(to_json(&JobView {
        job: id,
        key: &job.key,
        environment: &job.spec.environment,
        stage: job.spec.stage,
        team: &job.spec.team,
        class: &job.spec.class,
        state: job.get_state(),
        unrepeatable: job.unrepeatable,
        finished: count_finished(job),
        tasks: tasks.collect(),
    }))
}

/// Returns one row for each job.
pub(in crate::control) fn jobs(ledger: &ledger::Ledger) -> Bytes {
    let rows = ledger.get_jobs().iter().map(|(id, job)| JobRow {
        job: *id,
        team: &job.spec.team,
        class: &job.spec.class,
        state: job.get_state(),
        tasks: job.tasks.len(),
        finished: count_finished(job),
    });
    to_json(&rows.collect::<Vec<_>>())
}

/// Returns the state of a task and the decisions about it.
pub(in crate::control) fn explain(
    ledger: &ledger::Ledger,
    leader: Option<&Leader>,
    id: id::TaskId,
) -> Result<Bytes, error::Error> {
    let task = ledger.get_task(id).ok_or_else(|| {
        let message = format!("there is no task {id}, or it ended long ago");
        error::Error::new(error::ErrorKind::NotFound, message).field("task")
    })?;
    let decisions = leader.map(|leader| leader.explain(id)).unwrap_or_default();
    Ok(to_json(&Explanation { task: task_view(id, task), decisions }))
}

fn task_view(id: id::TaskId, task: &job::Task) -> TaskView<'_> {
    TaskView {
        task: id,
        state: &task.state,
        last_attempt: task.last_attempt,
        checkpoint: task.checkpoint.as_ref().map(|checkpoint| checkpoint.sequence),
        failed_on: &task.failed_on,
    }
}

fn count_finished(job: &job::Job) -> usize {
    job.tasks.iter().filter(|task| task.state == job::TaskState::Finished).count()
}
