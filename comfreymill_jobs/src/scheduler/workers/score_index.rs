use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::ops;

use super::super::interference::ImageId;
use crate::id;
use crate::job;
use crate::worker;

/// What the scores of workers for a task depend on, apart from the workers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::scheduler) struct ScoreKey {
    image: ImageId,
    is_filler: bool,
    needs: (u32, u32, u32),
    required_label: Option<String>,
    data_rack: Option<String>,
}

impl ScoreKey {
    /// Returns the key for the tasks of a step.
    pub(in crate::scheduler) fn new(spec: &job::StepSpec, image: ImageId) -> Self {
        let worker::Resources { cpu_milli, mem_mb, gpus } = spec.needs;
        Self {
            image,
            is_filler: spec.is_filler,
            needs: (cpu_milli, mem_mb, gpus),
            required_label: spec.required_label.clone(),
            data_rack: spec.data_rack.clone(),
        }
    }
}

/// Workers that suit the tasks of one key, by score.
#[derive(Debug)]
pub(super) struct ScoreIndex {
    by_score: BTreeSet<(Reverse<i64>, id::WorkerNumber)>,
    scores: BTreeMap<id::WorkerNumber, i64>,
    /// Number of changes of workers that the scores include; `None` if there are no scores yet.
    pub(super) changes: Option<u64>,
    /// Number of searches of all keys when this one was last searched.
    pub(super) searched_at: u64,
}

impl ScoreIndex {
    /// Creates an index without any worker, which includes no change.
    pub(super) fn new() -> Self {
        Self { by_score: BTreeSet::new(), scores: BTreeMap::new(), changes: None, searched_at: 0 }
    }

    /// Sets the score of a worker; `None` if it does not suit the tasks.
    pub(super) fn set(&mut self, number: id::WorkerNumber, score: Option<i64>) {
        let last = match score {
            Some(score) => self.scores.insert(number, score),
            None => self.scores.remove(&number),
        };
        if last == score {
            return;
        }
        if let Some(last) = last {
            self.by_score.remove(&(Reverse(last), number));
        }
        if let Some(score) = score {
            self.by_score.insert((Reverse(score), number));
        }
    }

    pub(super) fn clear(&mut self) {
        self.by_score.clear();
        self.scores.clear();
    }

    /// Returns the worker with the highest score after `last`, and its score; among equal ones, the
    /// worker with the lowest number.
    pub(super) fn next_after(
        &self,
        last: Option<(i64, id::WorkerNumber)>,
    ) -> Option<(i64, id::WorkerNumber)> {
        let first = last.map_or(ops::Bound::Unbounded, |(score, number)| {
            ops::Bound::Excluded((Reverse(score), number))
        });
        let (Reverse(score), number) =
            self.by_score.range((first, ops::Bound::Unbounded)).next()?;
        Some((*score, *number))
    }
}
