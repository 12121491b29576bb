use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use super::StepState;
use crate::id;
use crate::job;
use crate::worker;

/// Replicated state of a job that was accepted.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Job {
    /// Name of its queue.
    pub queue: String,
    /// Number of failed runs of a task after which the job fails.
    pub max_attempts: u32,
    /// Specification of the job.
    pub spec: Arc<job::JobSpec>,
    /// Status of the job.
    pub status: JobStatus,
    /// Unfinished occurrences in which at least one run has ended, by number.
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// Numbers of the occurrences that are finished.
    pub finished: std::collections::BTreeSet<u32>,
}

/// State of one execution of a job's steps.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Occurrence {
    /// State of each step, by index.
    pub steps: Vec<StepState>,
}

/// Status of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum JobStatus {
    /// The job is not over.
    Open,
    /// All tasks are done.
    Completed,
    /// A task has reached the maximum number of failed runs.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

impl fmt::Display for JobStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Open => "open",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        })
    }
}

impl Occurrence {
    /// Creates the state of an occurrence in which no run has ended.
    pub fn new(spec: &job::JobSpec) -> Self {
        Self { steps: spec.steps.iter().map(StepState::new).collect() }
    }
}

impl Job {
    /// Returns whether the job has completed, failed or been cancelled.
    pub fn is_over(&self) -> bool {
        self.status != JobStatus::Open
    }

    /// Returns whether a task of the job still has to be done.
    pub(super) fn is_open(&self, task: id::TaskId) -> bool {
        let id::StepId { occurrence, step, .. } = task.step;
        if self.is_over() || self.finished.contains(&occurrence) {
            return false;
        }
        let recorded = self.occurrences.get(&occurrence);
        let step = recorded.and_then(|occurrence| occurrence.steps.get(usize::from(step)));
        !step.is_some_and(|step| step.is_done(task.index))
    }

    /// Records the end of a run of one of the job's tasks.
    pub(super) fn record_end(&mut self, end: &worker::End) {
        let id::StepId { occurrence: number, step, .. } = end.task.step;
        if self.is_over() || self.finished.contains(&number) {
            return;
        }
        let Some(spec) = self.spec.steps.get(usize::from(step)) else { return };
        let fresh = || Occurrence::new(&self.spec);
        let occurrence = self.occurrences.entry(number).or_insert_with(fresh);
        let failures = occurrence.steps[usize::from(step)].record_end(spec, end);
        if failures.is_some_and(|failures| failures >= self.max_attempts) {
            self.end(JobStatus::Failed);
            return;
        }
        if occurrence.steps.iter().all(|step| step.open == 0) {
            self.occurrences.remove(&number);
            self.finished.insert(number);
            if self.finished.len() >= self.spec.occurrences() as usize {
                self.end(JobStatus::Completed);
            }
        }
    }

    /// Ends the job and drops the state of its occurrences.
    pub(super) fn end(&mut self, status: JobStatus) {
        self.status = status;
        self.occurrences.clear();
        self.finished.clear();
    }
}
