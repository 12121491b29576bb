/// Queue of jobs: requests for a host under a prefix.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Queue {
    /// Name.
    pub name: String,
    /// Host that requests name.
    pub host: String,
    /// Beginning of the path; what follows is the job's key.
    pub prefix: String,
    /// Pool whose workers run the tasks.
    pub pool: String,
    /// 0 comes first.
    pub priority: u32,
    /// Failed runs of a task after which its job has failed.
    pub max_attempts: u32,
    /// Time allowed for a job, as a multiple of its longest chain of work.
    pub stretch: f64,
    /// Time allowed for a job on top of that, in milliseconds.
    pub target_latency_ms: u64,
    /// Longest time for a request, in milliseconds.
    pub timeout_ms: u64,
    /// Whether another service decides which workers may run a step, and how it answers.
    pub advice: Option<Advice>,
}

/// How the service answers that decides which workers may run a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Advice {
    /// Milliseconds for each call.
    pub decide_ms: u64,
    /// Milliseconds for each worker named in a call.
    pub per_worker_ms: u64,
    /// Milliseconds for which a ticket is valid.
    pub valid_ms: u64,
}

/// Pool of workers.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Pool {
    /// Name.
    pub name: String,
    /// Whether its workers refuse what does not fit.
    pub is_guarded: bool,
    /// Whether its machines are off until they move to another pool.
    pub is_standby: bool,
}
