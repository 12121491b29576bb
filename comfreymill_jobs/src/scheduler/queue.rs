use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use comfreymill_types::time;

use super::rounds::Tier;
use crate::id;

/// Class of a step's tasks; all steps of one class are placed before those of the next.
///
/// Short tasks come first: a long-running task is worth as much for its running time as a short one
/// for its completion, but keeps its capacity for a minute, so otherwise no freed capacity would
/// ever reach short tasks. Fillers use what both leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum PlacementClass {
    Short,
    Lasting,
    Filling,
}

/// Position of a step in the placement order; the smallest is placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// Class of the step's tasks.
    pub(super) class: PlacementClass,
    /// Priority of the queue; 0 is the highest.
    pub(super) priority: u32,
    /// Time by which the job should be completed.
    pub(super) due_at: time::Monotonic,
    /// Time after which the completion of the job is of no use to its caller.
    pub(super) useless_at: time::Monotonic,
    /// Estimated time from the start of the step to the end of the job, in milliseconds.
    pub(super) remaining_ms: u64,
}

/// Whether a job can still be completed in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Lateness {
    InTime,
    Late,
    Useless,
}

impl Rank {
    /// Returns the lateness of a job that ends at `end` at the earliest.
    pub(super) fn lateness(&self, end: time::Monotonic) -> Lateness {
        if end <= self.due_at {
            Lateness::InTime
        } else if end <= self.useless_at {
            Lateness::Late
        } else {
            Lateness::Useless
        }
    }
}

/// Tasks that are ready to be placed, by step.
#[derive(Debug, Default)]
pub(super) struct ReadyQueue {
    order: BTreeSet<(Rank, id::StepId)>,
    /// Rank of each step, and its ready tasks with the times at which they were added.
    steps: BTreeMap<id::StepId, (Rank, BTreeMap<u16, time::Monotonic>)>,
}

impl ReadyQueue {
    /// Adds a task, which waits from `now` on.
    pub(super) fn add(&mut self, now: time::Monotonic, task: id::TaskId, rank: Rank) {
        let entry = self.steps.entry(task.step).or_insert_with(|| {
            self.order.insert((rank, task.step));
            (rank, BTreeMap::new())
        });
        entry.1.insert(task.index, now);
    }

    /// Removes a task.
    pub(super) fn remove(&mut self, task: id::TaskId) {
        if let Some((rank, tasks)) = self.steps.get_mut(&task.step) {
            tasks.remove(&task.index);
            if tasks.is_empty() {
                self.order.remove(&(*rank, task.step));
                self.steps.remove(&task.step);
            }
        }
    }

    /// Removes all tasks of a job.
    pub(super) fn remove_job(&mut self, job: id::JobKey) {
        let first = id::StepId { job, occurrence: 0, step: 0 };
        let last = id::StepId { job, occurrence: u32::MAX, step: u16::MAX };
        let steps: Vec<id::StepId> =
            self.steps.range(first..=last).map(|(step, _)| *step).collect();
        for step in steps {
            if let Some((rank, _)) = self.steps.remove(&step) {
                self.order.remove(&(rank, step));
            }
        }
    }

    /// Returns the steps in placement order.
    pub(super) fn steps(&self) -> Vec<(Rank, id::StepId)> {
        self.order.iter().copied().collect()
    }

    /// Returns the steps of a tier in placement order.
    pub(super) fn steps_of(&self, tier: Tier) -> Vec<(Rank, id::StepId)> {
        let is_filling = |step: &&(Rank, id::StepId)| step.0.class == PlacementClass::Filling;
        let steps = self.order.iter();
        match tier {
            Tier::Reserving => steps.take_while(|step| !is_filling(step)).copied().collect(),
            Tier::Filling => steps.skip_while(|step| !is_filling(step)).copied().collect(),
        }
    }

    /// Returns the first task of a class in placement order.
    pub(super) fn first(&self, class: PlacementClass) -> Option<id::TaskId> {
        let (_, step) = self.order.iter().find(|(rank, _)| rank.class == class)?;
        let (index, _) = self.steps.get(step)?.1.first_key_value()?;
        Some(step.task(*index))
    }

    /// Returns up to `most` tasks of a class that have waited for at least `span`, longest wait
    /// first.
    pub(super) fn waiting_at_least(
        &self,
        now: time::Monotonic,
        class: PlacementClass,
        span: Duration,
        most: usize,
    ) -> Vec<id::TaskId> {
        let steps = self.steps.iter().filter(|(_, (rank, _))| rank.class == class);
        let tasks = steps.flat_map(|(step, (_, tasks))| {
            tasks.iter().map(|(index, began)| (*began, step.task(*index)))
        });
        let mut tasks: Vec<_> = tasks.filter(|(began, _)| now.since(*began) >= span).collect();
        tasks.sort_unstable();
        tasks.into_iter().map(|(_, task)| task).take(most).collect()
    }

    /// Returns the number of a step's ready tasks, and since when the first of them has waited.
    pub(super) fn waiting(&self, step: id::StepId) -> (usize, Option<time::Monotonic>) {
        let tasks = self.steps.get(&step).map(|(_, tasks)| tasks);
        let began = tasks.and_then(|tasks| tasks.values().min().copied());
        (tasks.map_or(0, BTreeMap::len), began)
    }

    /// Returns the indices of a step's ready tasks.
    pub(super) fn tasks(&self, step: id::StepId) -> Vec<u16> {
        self.steps.get(&step).map(|(_, tasks)| tasks.keys().copied().collect()).unwrap_or_default()
    }

    /// Returns whether a step has ready tasks.
    pub(super) fn has_tasks(&self, step: id::StepId) -> bool {
        self.steps.contains_key(&step)
    }

    /// Returns the number of ready tasks.
    pub(super) fn len(&self) -> usize {
        self.steps.values().map(|(_, tasks)| tasks.len()).sum()
    }

    /// Returns whether there are no ready tasks.
    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}
