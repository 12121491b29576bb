use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use comfreymill_types::time;

use crate::id;
use crate::job;
use crate::state;

/// Leader's state of an open job.
#[derive(Debug)]
pub(super) struct JobEntry {
    pub(super) queue: String,
    pub(super) spec: Arc<job::JobSpec>,
    /// Estimated durations of the critical path, and of the longest path from the start of each step
    /// to the end of the job, in milliseconds; kept, since a job may have thousands of steps.
    pub(super) critical_path_ms: u64,
    pub(super) remaining_paths_ms: Vec<u64>,
    pub(super) occurrences: BTreeMap<u32, OccurrenceEntry>,
    /// Number of the next occurrence to begin.
    pub(super) next_occurrence: u32,
    /// Time at which this leader learned of the job.
    pub(super) accepted_at: time::Monotonic,
    /// Whether a worker has begun a task of the job, as far as this leader knows.
    pub(super) has_started: bool,
}

/// Leader's state of an occurrence of a job.
#[derive(Debug)]
pub(super) struct OccurrenceEntry {
    pub(super) steps: Vec<StepEntry>,
    /// Time at which this leader began the occurrence or restored it.
    pub(super) due_at: time::Monotonic,
    /// Time for which the occurrence had been due by then, as its caller waits through all leaders.
    pub(super) waited: Duration,
}

/// Leader's state of a step of an occurrence.
#[derive(Debug, Default)]
pub(super) struct StepEntry {
    pub(super) open: u16,
    pub(super) tasks: Vec<TaskEntry>,
}

/// Leader's state of a task.
#[derive(Debug, Default)]
pub(super) struct TaskEntry {
    pub(super) phase: TaskPhase,
    /// Highest run number used for the task.
    pub(super) run: id::Run,
    /// Checkpoint to resume from; empty if there is none.
    pub(super) checkpoint: String,
    /// Crashes of workers under the task.
    pub(super) crashes: state::CrashRecord,
    /// Number of crashes right after a start that a cause in common with other crashes explains.
    pub(super) explained_crashes: u32,
    /// Time at which the last of these was noted, or this leader restored them.
    pub(super) explained_at: time::Monotonic,
}

/// Phase of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum TaskPhase {
    /// Steps that the task depends on are not done.
    #[default]
    Blocked,
    /// The task was restored from the log; an earlier leader may have started it on a worker.
    Unreconciled,
    /// The task waits to be placed.
    Ready,
    /// A worker runs the task, or may run it.
    Placed(id::WorkerNumber),
    /// The task is done.
    Done,
}

impl JobEntry {
    /// Creates the entry of a job of which no occurrence has begun.
    pub(super) fn new(job: &state::Job, accepted_at: time::Monotonic) -> Self {
        Self {
            queue: job.queue.clone(),
            spec: job.spec.clone(),
            critical_path_ms: job.spec.critical_path_ms(),
            remaining_paths_ms: job.spec.remaining_paths_ms(),
            occurrences: BTreeMap::new(),
            next_occurrence: 0,
            accepted_at,
            has_started: !job.occurrences.is_empty() || !job.finished.is_empty(),
        }
    }

    /// Returns the estimated duration of the longest path from the start of a step to the end of the
    /// job, in milliseconds.
    pub(super) fn remaining_path_ms(&self, step: u16) -> u64 {
        self.remaining_paths_ms.get(usize::from(step)).copied().unwrap_or_default()
    }

    /// Returns the tasks that a worker runs or may run, in ascending order; all other runs of the
    /// job are being stopped already.
    pub(super) fn placed(
        &self,
        key: id::JobKey,
    ) -> impl Iterator<Item = (id::WorkerNumber, id::TaskId)> {
        self.occurrences.iter().flat_map(move |(number, occurrence)| {
            (0..).zip(&occurrence.steps).flat_map(move |(step, entry)| {
                let step = id::StepId { job: key, occurrence: *number, step };
                (0..).zip(&entry.tasks).filter_map(move |(index, task)| match task.phase {
                    TaskPhase::Placed(worker) => Some((worker, step.task(index))),
                    _ => None,
                })
            })
        })
    }
}

impl OccurrenceEntry {
    /// Creates the entry from the replicated state of the occurrence, if there is any.
    pub(super) fn new(
        spec: &job::JobSpec,
        recorded: Option<&state::Occurrence>,
        due_at: time::Monotonic,
    ) -> Self {
        let fresh = state::Occurrence::new(spec);
        let recorded = recorded.unwrap_or(&fresh);
        let steps = recorded.steps.iter().map(StepEntry::new).collect();
        Self { steps, due_at, waited: Duration::ZERO }
    }

    /// Returns whether all steps that the step `spec` depends on are done.
    pub(super) fn is_unblocked(&self, spec: &job::StepSpec) -> bool {
        let mut before = spec.depends_on.iter().map(|index| usize::from(*index));
        before.all(|index| self.steps.get(index).is_some_and(|step| step.open == 0))
    }
}

impl StepEntry {
    fn new(recorded: &state::StepState) -> Self {
        let task = |index: u16| TaskEntry {
            phase: if recorded.is_done(index) { TaskPhase::Done } else { TaskPhase::Blocked },
            run: recorded.runs.get(&index).copied().unwrap_or_default(),
            checkpoint: recorded.checkpoints.get(&index).cloned().unwrap_or_default(),
            crashes: state::CrashRecord::default(),
            explained_crashes: 0,
            explained_at: time::Monotonic::ZERO,
        };
        let count = u16::try_from(recorded.done.len()).unwrap_or(u16::MAX);
        Self { open: recorded.open, tasks: (0..count).map(task).collect() }
    }
}
