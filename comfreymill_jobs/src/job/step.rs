use crate::worker::Resources;

/// Specification of a step: a number of tasks with the same requirements.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u16,
    /// Resources that each task needs.
    pub needs: Resources,
    /// Rough estimate of a task's duration, in milliseconds.
    pub estimate_ms: u32,
    /// Indices of the earlier steps whose tasks must all be done first.
    pub depends_on: Vec<u16>,
    /// Whether the tasks checkpoint their progress.
    pub has_checkpoints: bool,
    /// Whether the tasks form a gang, which makes progress only while all of them run.
    pub is_gang: bool,
    /// Whether the tasks slow down when they run on more than one rack.
    pub is_rack_sensitive: bool,
    /// Whether redundant copies of a task may run in parallel.
    pub is_speculative: bool,
    /// Whether the tasks run until the job is cancelled and are restarted however they end.
    pub is_long_running: bool,
    /// Whether the tasks are fillers, which use only processor time that other tasks leave idle.
    pub is_filler: bool,
    /// Label that the worker must have.
    pub required_label: Option<String>,
    /// Label of the rack that is near the tasks' data.
    pub data_rack: Option<String>,
    /// Maximum number of the step's tasks of one occurrence on one worker.
    pub max_per_worker: Option<u16>,
    /// Image that the tasks run; tasks of the same image are expected to behave alike.
    pub image: Option<String>,
    /// Upper bound on the tail latency of serving tasks, in milliseconds.
    pub tail_target_ms: Option<u32>,
    /// Maximum number of a long-running step's tasks that may be down at once due to the scheduler.
    pub max_away: Option<u16>,
}

/// How a step's tasks use a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StepKind {
    /// Serves requests, with an upper bound on its tail latency.
    Serving,
    /// Uses only processor time that other tasks leave idle.
    Filler,
    /// Uses the resources that it reserves.
    Plain,
}

impl StepSpec {
    /// Returns how the tasks use a worker.
    pub fn kind(&self) -> StepKind {
        if self.is_filler {
            StepKind::Filler
        } else if self.tail_target_ms.is_some() {
            StepKind::Serving
        } else {
            StepKind::Plain
        }
    }

    /// Returns the part of a worker's capacity that each task reserves; fillers reserve no
    /// processors.
    pub fn reserved(&self) -> Resources {
        if self.is_filler { Resources { cpu_milli: 0, ..self.needs } } else { self.needs }
    }
}
