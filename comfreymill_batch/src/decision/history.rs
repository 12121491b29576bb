use std::collections::{HashMap, VecDeque};

use comfreymill_types::id;

use super::Record;

const MAX_NEW_RECORDS: usize = 65_536;
const MAX_RETIRED_TASKS: usize = 4_096;

/// Bounded history of decisions, by task.
#[derive(Debug, Default)]
pub(crate) struct History {
    by_task: HashMap<id::TaskId, VecDeque<Record>>,
    new_records: Vec<Record>,
    retired: VecDeque<id::TaskId>,
    limit: usize,
}

impl History {
    pub(crate) fn new(limit: usize) -> Self {
        Self { limit, ..Self::default() }
    }

    /// Adds a record, unless it repeats the verdict and reason of the task's last one.
    pub(crate) fn add(&mut self, record: Record) {
        let records = self.by_task.entry(record.task).or_default();
        let repeats = records
            .back()
            .is_some_and(|last| last.verdict == record.verdict && last.reason == record.reason);
        if repeats {
            return;
        }
        if records.len() >= self.limit {
            records.pop_front();
        }
        if self.new_records.len() < MAX_NEW_RECORDS {
            self.new_records.push(record.clone());
        }
        records.push_back(record);
    }

    /// Returns the records that were added since the last call, in order.
    pub(crate) fn take_new_records(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.new_records)
    }

    /// Iterates over the records of one task, oldest first.
    pub(crate) fn of(&self, task: id::TaskId) -> impl Iterator<Item = &Record> {
        self.by_task.get(&task).into_iter().flatten()
    }

    /// Marks a task as over; its records are dropped after `MAX_RETIRED_TASKS` later tasks.
    pub(crate) fn retire(&mut self, task: id::TaskId) {
        self.retired.push_back(task);
        if self.retired.len() > MAX_RETIRED_TASKS
            && let Some(oldest) = self.retired.pop_front()
        {
            self.by_task.remove(&oldest);
        }
    }
}
