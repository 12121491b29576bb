use crate::worker::Resources;

/// Tasks of the same kind within a job.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u16,
    /// What each task needs.
    pub needs: Resources,
    /// Declared duration of a task, in milliseconds; a rough figure.
    pub estimate_ms: u32,
    /// Earlier steps whose tasks must all be done first.
    pub depends_on: Vec<u16>,
    /// Whether the tasks checkpoint their progress.
    pub has_checkpoints: bool,
    /// Whether the tasks work only together.
    pub is_gang: bool,
    /// Whether the tasks slow down when they run on more than one rack.
    pub is_rack_sensitive: bool,
    /// Whether copies of a task may run in parallel.
    pub is_speculative: bool,
    /// Whether the tasks run until the job is cancelled, and are started again however they end.
    pub is_long_running: bool,
    /// Whether the tasks run in what others leave unused of a worker's processors.
    pub is_filler: bool,
    /// Label that the worker must have.
    pub required_label: Option<String>,
    /// Rack near the tasks' data.
    pub data_rack: Option<String>,
    /// Most tasks of an occurrence on one worker.
    pub max_per_worker: Option<u16>,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<String>,
    /// Bound on the tail of the response times of tasks that serve, in milliseconds.
    pub tail_target_ms: Option<u32>,
    /// Most tasks of a long-running step that may be away by the scheduler's doing.
    pub max_away: Option<u16>,
}

/// How a step's tasks use a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StepKind {
    /// Serves users of its own, with a bound on its tail.
    Serving,
    /// Runs in what others leave unused.
    Filler,
    /// Uses what it reserves.
    Plain,
}

impl StepSpec {
    /// How the tasks use a worker.
    pub fn kind(&self) -> StepKind {
        if self.is_filler {
            StepKind::Filler
        } else if self.tail_target_ms.is_some() {
            StepKind::Serving
        } else {
            StepKind::Plain
        }
    }

    /// What a task takes of a worker's capacity.
    pub fn reserved(&self) -> Resources {
        if self.is_filler { Resources { cpu_milli: 0, ..self.needs } } else { self.needs }
    }
}
