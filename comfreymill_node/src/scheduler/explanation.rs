use bytes::Bytes;
use comfreymill_jobs::id;
use comfreymill_jobs::state;
use comfreymill_types::error;

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
}

#[derive(serde::Serialize)]
struct TaskCrashes {
    task: String,
    /// Number of crashes.
    crashes: u32,
    /// Number of those shortly after the task had been started.
    suspected: u32,
}

/// Returns why a job is in its state, as JSON text.
///
/// # Errors
///
/// Fails if `key` is malformed or no job has it.
pub(super) fn explain(state: &state::State, key: &str) -> Result<Bytes, error::Error> {
    let id: id::JobKey = key.parse().map_err(|source: id::NameError| {
        error::Error::new(error::ErrorKind::BadRequest, source.to_string()).field("job")
    })?;
    let job = state.get_jobs().get(&id).ok_or_else(|| {
        let message = format!("there is no job {id}, or it ended long ago");
        error::Error::new(error::ErrorKind::NotFound, message).field("job")
    })?;
    let crashes = state.get_job_crashes(id).map(|(task, record)| TaskCrashes {
        task: task.to_string(),
        crashes: record.crashes,
        suspected: record.suspected,
    });
    let evacuated = state.get_evacuations().evacuated();
    let explanation = Explanation {
        job: id.to_string(),
        queue: &job.queue,
        state: job.status.to_string(),
        reason: failure_reason(job, state.get_given_up(id)),
        crashes: crashes.collect(),
        evacuated_zones: evacuated.filter(|_| !job.is_over()).collect(),
    };
    let text = serde_json::to_vec(&explanation);
    text.map(Bytes::from).map_err(|source| {
        error::Error::new(error::ErrorKind::Internal, format!("cannot be encoded: {source}"))
    })
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
