use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use comfreymill_types::time;

use crate::id;

/// Steps of one turn get places before those of the next.
///
/// A task that lasts and has to run again goes first: what it leaves is enough for it, and would be
/// taken piece by piece by short ones. A new one earns for its time what a short one earns for its
/// end, and keeps its place for a minute: short tasks go before it, else nothing that becomes free
/// would ever reach them. Fillers take what all leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Turn {
    Again,
    Short,
    Lasting,
    Filling,
}

/// Order in which steps get places: the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// How the tasks use a worker.
    pub(super) turn: Turn,
    /// Priority of the queue.
    pub(super) priority: u32,
    /// When the job should be over.
    pub(super) due_at: time::Monotonic,
}

/// Tasks of a step that wait for their turn.
pub(super) type Group = (id::StepId, Turn);

/// Tasks that wait for a place, by step and turn.
#[derive(Debug, Default)]
pub(super) struct ReadyQueue {
    order: BTreeSet<(Rank, id::StepId)>,
    /// Rank of each group, and its tasks with the times since which they wait.
    groups: BTreeMap<Group, (Rank, BTreeMap<u16, time::Monotonic>)>,
}

impl ReadyQueue {
    /// Adds a task that waits from `now` on.
    pub(super) fn add(&mut self, now: time::Monotonic, task: id::TaskId, rank: Rank) {
        let entry = self.groups.entry((task.step, rank.turn)).or_insert_with(|| {
            self.order.insert((rank, task.step));
            (rank, BTreeMap::new())
        });
        entry.1.insert(task.index, now);
    }

    /// Removes a task.
    pub(super) fn remove(&mut self, task: id::TaskId) {
        let groups = (task.step, Turn::Again)..=(task.step, Turn::Filling);
        let found = self.groups.range_mut(groups).find_map(|(group, (rank, tasks))| {
            tasks.remove(&task.index)?;
            Some((*group, *rank, tasks.is_empty()))
        });
        if let Some((group, rank, true)) = found {
            self.order.remove(&(rank, task.step));
            self.groups.remove(&group);
        }
    }

    /// Removes all tasks of a job.
    pub(super) fn remove_job(&mut self, job: id::JobKey) {
        let first = id::StepId { job, occurrence: 0, step: 0 };
        let last = id::StepId { job, occurrence: u32::MAX, step: u16::MAX };
        let groups = (first, Turn::Again)..=(last, Turn::Filling);
        let groups: Vec<Group> = self.groups.range(groups).map(|(group, _)| *group).collect();
        for group in groups {
            if let Some((rank, _)) = self.groups.remove(&group) {
                self.order.remove(&(rank, group.0));
            }
        }
    }

    /// Groups in the order in which they get places.
    pub(super) fn groups(&self) -> Vec<Group> {
        self.order.iter().map(|(rank, step)| (*step, rank.turn)).collect()
    }

    /// Task that goes first among those of a turn.
    pub(super) fn first(&self, turn: Turn) -> Option<id::TaskId> {
        let (_, step) = self.order.iter().find(|(rank, _)| rank.turn == turn)?;
        let (index, _) = self.groups.get(&(*step, turn))?.1.first_key_value()?;
        Some(step.task(*index))
    }

    /// At most `most` tasks of a turn that have waited for `span` or longer; those that have waited
    /// longest come first.
    pub(super) fn waiting_for(
        &self,
        now: time::Monotonic,
        turn: Turn,
        span: Duration,
        most: usize,
    ) -> Vec<id::TaskId> {
        let groups = self.groups.iter().filter(|((_, of), _)| *of == turn);
        let tasks = groups.flat_map(|((step, _), (_, tasks))| {
            tasks.iter().map(|(index, began)| (*began, step.task(*index)))
        });
        let mut tasks: Vec<_> = tasks.filter(|(began, _)| now.since(*began) >= span).collect();
        tasks.sort_unstable();
        tasks.into_iter().map(|(_, task)| task).take(most).collect()
    }

    /// Tasks of a group.
    pub(super) fn tasks(&self, group: Group) -> Vec<u16> {
        self.groups
            .get(&group)
            .map(|(_, tasks)| tasks.keys().copied().collect())
            .unwrap_or_default()
    }

    /// Number of tasks that wait.
    pub(super) fn len(&self) -> usize {
        self.groups.values().map(|(_, tasks)| tasks.len()).sum()
    }

    /// Whether no task waits.
    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}
