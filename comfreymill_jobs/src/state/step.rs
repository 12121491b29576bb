use std::collections::BTreeMap;

use crate::id;
use crate::job;
use crate::worker;

/// State of the tasks of a step in one occurrence.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StepState {
    /// Number of tasks that are not done.
    pub open: u16,
    /// Whether a task is done, by index.
    pub done: Vec<bool>,
    /// Number of failed runs, by task index; a gang counts as a whole, under index 0.
    pub failures: BTreeMap<u16, u32>,
    /// Highest run known to have failed, by task index; for a gang, under index 0.
    pub failed_runs: BTreeMap<u16, id::Run>,
    /// Latest checkpoints, by task index.
    pub checkpoints: BTreeMap<u16, String>,
    /// Highest run known, by task index.
    pub runs: BTreeMap<u16, id::Run>,
}

impl StepState {
    /// Creates the state of a step in which no run has ended.
    pub(super) fn new(spec: &job::StepSpec) -> Self {
        Self { open: spec.count, done: vec![false; usize::from(spec.count)], ..Self::default() }
    }

    /// Returns whether task `index` is done; an index out of range counts as done.
    pub fn is_done(&self, index: u16) -> bool {
        self.done.get(usize::from(index)).copied().unwrap_or(true)
    }

    /// Records the end of a run; returns the number of failed runs of its task or gang if this run
    /// failed.
    pub(super) fn record_end(&mut self, spec: &job::StepSpec, end: &worker::End) -> Option<u32> {
        let index = end.task.index;
        let run = self.runs.entry(index).or_default();
        *run = (*run).max(end.run);
        if !end.checkpoint.is_empty() && !self.is_done(index) {
            self.checkpoints.insert(index, end.checkpoint.clone());
        }
        match end.kind {
            worker::EndKind::Done if spec.is_gang => {
                self.done.fill(true);
                self.open = 0;
                self.checkpoints.clear();
                None
            }
            worker::EndKind::Done if !spec.is_long_running => {
                self.finish(index);
                None
            }
            worker::EndKind::Failed if !spec.is_long_running && !self.is_done(index) => {
                Some(self.fail(spec, end))
            }
            _ => None,
        }
    }

    fn finish(&mut self, index: u16) {
        if let Some(done) = self.done.get_mut(usize::from(index))
            && !*done
        {
            *done = true;
            self.open -= 1;
            self.checkpoints.remove(&index);
        }
    }

    fn fail(&mut self, spec: &job::StepSpec, end: &worker::End) -> u32 {
        let index = if spec.is_gang { 0 } else { end.task.index };
        let failures = self.failures.entry(index).or_default();
        // Several members of a gang may report the failure of the same run, and an incarnation
        // that was removed and added again reports its ends anew.
        let newest = self.failed_runs.entry(index).or_default();
        if end.run > *newest {
            *failures += 1;
            *newest = end.run;
        }
        *failures
    }
}
