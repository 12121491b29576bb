use super::check::MAX_TASKS;
use super::{Schedule, StepSpec};

/// Specification of a job as its caller submitted it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct JobSpec {
    /// Text passed to every task at its start; not interpreted here.
    pub payload: String,
    /// Steps of the job; a step may depend only on earlier ones.
    pub steps: Vec<StepSpec>,
    /// Schedule of a recurring job.
    pub schedule: Option<Schedule>,
}

impl JobSpec {
    /// Returns the number of times that the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count)
    }

    /// Returns the number of occurrences that may be in progress at a time. Far more may be due
    /// at once, and their tasks would exhaust a control process's memory.
    pub fn max_open_occurrences(&self) -> usize {
        let tasks: usize = self.steps.iter().map(|step| usize::from(step.count)).sum();
        (MAX_TASKS / tasks.max(1)).max(1)
    }

    /// Returns whether any step of the job runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.is_long_running)
    }

    /// Returns the estimated duration of the longest path from the start of `step` to the end of the
    /// job, in milliseconds.
    pub fn remaining_path_ms(&self, step: u16) -> u64 {
        let mut paths = vec![None; self.steps.len()];
        for (index, spec) in self.steps.iter().enumerate() {
            let before =
                spec.depends_on.iter().filter_map(|index| *paths.get(usize::from(*index))?);
            let before = before.max();
            let is_first = index == usize::from(step);
            paths[index] = before
                .or(is_first.then_some(0))
                .map(|before: u64| before + u64::from(spec.estimate_ms));
        }
        paths.into_iter().flatten().max().unwrap_or_default()
    }

    /// Returns the estimated duration of the critical path through the steps, in milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.depends_on.iter().filter_map(|index| ends.get(usize::from(*index)));
            let begin = before.copied().max().unwrap_or_default();
            ends.push(begin + u64::from(step.estimate_ms));
        }
        ends.into_iter().max().unwrap_or_default()
    }
}
