use super::{Schedule, StepSpec};

/// Job as it was handed in.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct JobSpec {
    /// Text that every task is started with; opaque here.
    pub payload: String,
    /// Steps; a step depends on earlier ones only.
    pub steps: Vec<StepSpec>,
    /// Times of a recurring job.
    pub schedule: Option<Schedule>,
}

impl JobSpec {
    /// Number of times that the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |it| it.count)
    }

    /// Whether its tasks run until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.is_long_running)
    }

    /// Declared time of the longest chain of dependent steps, in milliseconds.
    pub fn longest_chain_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.depends_on.iter().filter_map(|it| ends.get(usize::from(*it)));
            let begin = before.copied().max().unwrap_or_default();
            ends.push(begin + u64::from(step.estimate_ms));
        }
        ends.into_iter().max().unwrap_or_default()
    }
}
