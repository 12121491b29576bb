use std::time::Duration;

use bytes::Bytes;
use comfreymill_jobs::id;
use comfreymill_jobs::scheduler;
use comfreymill_jobs::state;
use comfreymill_types::error;
use comfreymill_types::time;

/// Why a job is in its state.
#[derive(serde::Serialize)]
struct Explanation<'a> {
    job: String,
    queue: &'a str,
    state: String,
    /// Why the job failed; `None` if it did not.
    reason: Option<String>,
    /// Tasks under which workers have crashed, while the job is open.
    crashes: Vec<TaskCrashes>,
    /// Availability zones in which no task starts, while the job is open.
    evacuated_zones: Vec<&'a id::ZoneName>,
    /// Steps whose tasks wait for a rack, if this process leads.
    waits: Vec<RackWait>,
}

#[derive(serde::Serialize)]
struct RackWait {
    occurrence: u32,
    step: u16,
    rack: String,
    /// Time since when the tasks wait.
    waited_ms: u64,
    /// Time for which they are expected to wait further.
    expected_ms: u64,
    /// Extra time that they would take elsewhere.
    extra_ms: u64,
}

#[derive(serde::Serialize)]
struct TaskCrashes {
    task: String,
    /// Number of crashes.
    crashes: u32,
    /// Number of those shortly after the task had been started.
    suspected: u32,
    /// Number of further ones that a cause in common with other crashes explains.
    explained: u32,
}

/// Returns why a job is in its state, as JSON text.
///
/// # Errors
///
/// Fails if `key` is malformed or no job has it.
pub(super) fn explain(
    state: &state::State,
    leader: Option<&scheduler::Scheduler>,
    now: time::Monotonic,
    key: &str,
) -> Result<Bytes, error::Error> {
    let id: id::JobKey = key.parse().map_err(|source: id::NameError| {
        error::Error::new(error::ErrorKind::BadRequest, source.to_string()).field("job")
    })?;
    let job = state.get_jobs().get(&id).ok_or_else(|| {
        let message = format!("there is no job {id}, or it ended long ago");
        error::Error::new(error::ErrorKind::NotFound, message).field("job")
    })?;
    let crashes = state.get_crashed_tasks(id).into_iter().map(|task| {
        let state::CrashRecord { crashes, suspected, .. } = state.get_crashes(task);
        let explained = state.get_explained_crashes(task);
        TaskCrashes { task: task.to_string(), crashes, suspected, explained }
    });
    let evacuated = state.get_evacuations().evacuated();
    let waits = leader.map(|leader| leader.get_rack_waits(now, id)).unwrap_or_default();
    let explanation = Explanation {
        job: id.to_string(),
        queue: &job.queue,
        state: job.status.to_string(),
        reason: failure_reason(job, state.get_given_up(id)),
        crashes: crashes.collect(),
        evacuated_zones: evacuated.filter(|_| !job.is_over()).collect(),
        waits: waits.into_iter().map(RackWait::from).collect(),
    };
    let text = serde_json::to_vec(&explanation);
    text.map(Bytes::from).map_err(|source| {
        error::Error::new(error::ErrorKind::Internal, format!("cannot be encoded: {source}"))
    })
}

impl From<scheduler::WaitStatus> for RackWait {
    fn from(status: scheduler::WaitStatus) -> Self {
        let millis = |span: Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self {
            occurrence: status.step.occurrence,
            step: status.step.step,
            rack: status.rack,
            waited_ms: millis(status.waited),
            expected_ms: millis(status.expected),
            extra_ms: millis(status.extra),
        }
    }
}

fn failure_reason(job: &state::Job, given_up: Option<&state::GivenUp>) -> Option<String> {
    if job.status != state::JobStatus::Failed {
        return None;
    }
    Some(match given_up {
        Some(state::GivenUp { task, crashes }) => {
            format!("given up: {crashes} workers have crashed while they ran task {task}")
        }
        None => format!("a task has failed {} times", job.max_attempts),
    })
}
