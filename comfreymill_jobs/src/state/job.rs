use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use super::StepState;
use crate::id;
use crate::job;
use crate::worker;

/// Job that was accepted.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Job {
    /// Name of its queue.
    pub queue: String,
    /// Failed runs of a task after which the job has failed.
    pub max_attempts: u32,
    /// What is to be run.
    pub spec: Arc<job::JobSpec>,
    /// How far it is.
    pub status: JobStatus,
    /// Occurrences of which something has ended, and that are not over.
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// Occurrences that are over, by number.
    pub finished: std::collections::BTreeSet<u32>,
}

/// One time that a job's steps run.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Occurrence {
    /// Steps by number.
    pub steps: Vec<StepState>,
}

/// How far a job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum JobStatus {
    /// Not over.
    Open,
    /// All tasks are done.
    Completed,
    /// A task has failed as often as it may.
    Failed,
    /// Its caller no longer wanted it.
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
    /// Occurrence of which nothing has run.
    pub fn new(spec: &job::JobSpec) -> Self {
        Self { steps: spec.steps.iter().map(StepState::new).collect() }
    }
}

impl Job {
    /// Whether nothing is to be run any more.
    pub fn is_over(&self) -> bool {
        self.status != JobStatus::Open
    }

    /// Notes an end of one of its tasks.
    pub(super) fn note(&mut self, end: &worker::End) {
        let id::StepId { occurrence: number, step, .. } = end.task.step;
        if self.is_over() || self.finished.contains(&number) {
            return;
        }
        let Some(spec) = self.spec.steps.get(usize::from(step)) else { return };
        let fresh = || Occurrence::new(&self.spec);
        let occurrence = self.occurrences.entry(number).or_insert_with(fresh);
        let failures = occurrence.steps[usize::from(step)].note(spec, end);
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

    /// Ends the job; what its tasks left is dropped.
    pub(super) fn end(&mut self, status: JobStatus) {
        self.status = status;
        self.occurrences.clear();
        self.finished.clear();
    }
}
