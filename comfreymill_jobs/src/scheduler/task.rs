use std::collections::BTreeMap;
use std::sync::Arc;

use comfreymill_types::time;

use crate::id;
use crate::job;
use crate::state;

/// Open job as the leader sees it.
#[derive(Debug)]
pub(super) struct JobEntry {
    pub(super) queue: String,
    pub(super) spec: Arc<job::JobSpec>,
    pub(super) occurrences: BTreeMap<u32, OccurrenceEntry>,
    /// Next occurrence that is not begun.
    pub(super) next_occurrence: u32,
    /// When it was accepted, as far as this leader knows.
    pub(super) accepted_at: time::Monotonic,
    /// Whether a task of it was ever started.
    pub(super) has_started: bool,
}

/// Occurrence of a job.
#[derive(Debug)]
pub(super) struct OccurrenceEntry {
    pub(super) steps: Vec<StepEntry>,
    /// When it became due.
    pub(super) due_at: time::Monotonic,
}

/// Step of an occurrence.
#[derive(Debug, Default)]
pub(super) struct StepEntry {
    pub(super) open: u16,
    pub(super) tasks: Vec<TaskEntry>,
}

/// Task of a step.
#[derive(Debug, Default)]
pub(super) struct TaskEntry {
    pub(super) phase: TaskPhase,
    /// Highest run that was used.
    pub(super) run: id::Run,
    /// Checkpoint to go on from.
    pub(super) checkpoint: String,
}

/// How far a task is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum TaskPhase {
    /// Steps that it depends on are open.
    #[default]
    Blocked,
    /// An earlier leader may have started it somewhere.
    Unaccounted,
    /// It waits for a place.
    Ready,
    /// A worker has it, or may have it.
    Placed(id::WorkerNumber),
    /// It is done.
    Done,
}

impl OccurrenceEntry {
    /// Entry that goes on from what is known of the occurrence.
    pub(super) fn new(
        spec: &job::JobSpec,
        known: Option<&state::Occurrence>,
        due_at: time::Monotonic,
    ) -> Self {
        let fresh = state::Occurrence::new(spec);
        let known = known.unwrap_or(&fresh);
        Self { steps: known.steps.iter().map(StepEntry::new).collect(), due_at }
    }

    /// Whether all steps are done that `step` depends on.
    pub(super) fn is_unblocked(&self, spec: &job::StepSpec) -> bool {
        let mut before = spec.depends_on.iter().map(|it| usize::from(*it));
        before.all(|it| self.steps.get(it).is_some_and(|step| step.open == 0))
    }
}

impl StepEntry {
    fn new(known: &state::StepState) -> Self {
        let task = |index: u16| TaskEntry {
            phase: if known.is_done(index) { TaskPhase::Done } else { TaskPhase::Blocked },
            run: known.runs.get(&index).copied().unwrap_or_default(),
            checkpoint: known.checkpoints.get(&index).cloned().unwrap_or_default(),
        };
        let count = u16::try_from(known.done.len()).unwrap_or(u16::MAX);
        Self { open: known.open, tasks: (0..count).map(task).collect() }
    }
}
