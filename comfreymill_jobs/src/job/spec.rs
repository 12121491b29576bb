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

    /// Returns, for each step, the estimated duration of the longest path from its start to the end
    /// of the job, in milliseconds.
    pub fn remaining_paths_ms(&self) -> Vec<u64> {
        let mut paths: Vec<u64> =
            self.steps.iter().map(|step| u64::from(step.estimate_ms)).collect();
        // A step depends only on earlier ones, so all that depend on it are complete by its turn.
        for (index, step) in self.steps.iter().enumerate().rev() {
            let after = paths[index];
            for before in step.depends_on.iter().map(|before| usize::from(*before)) {
                if let Some(spec) = self.steps.get(before) {
                    paths[before] = paths[before].max(u64::from(spec.estimate_ms) + after);
                }
            }
        }
        paths
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
