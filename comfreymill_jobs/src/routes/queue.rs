/// Queue of jobs, fed by the requests to a host whose path has a prefix.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Queue {
    /// Unique name of the queue.
    pub name: String,
    /// Host of the requests, compared without regard to ASCII case.
    pub host: String,
    /// Path prefix of the requests; the rest of the path is the job's key.
    pub prefix: String,
    /// Name of the pool whose workers run the tasks.
    pub pool: String,
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of a task after which its job fails.
    pub max_attempts: u32,
    /// Time allowed for a job, as a multiple of the duration of its critical path.
    pub stretch: f64,
    /// Time allowed for a job in addition to `stretch`, in milliseconds.
    pub target_latency_ms: u64,
    /// Timeout of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Timing of the external service that decides which workers may run a step, if there is one.
    pub advice: Option<Advice>,
}

/// Timing of the external service that decides which workers may run a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Advice {
    /// Duration of each call, in milliseconds.
    pub decide_ms: u64,
    /// Additional duration for each worker named in a call, in milliseconds.
    pub per_worker_ms: u64,
    /// Validity of a ticket, in milliseconds.
    pub valid_ms: u64,
}

/// Pool of workers.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Pool {
    /// Unique name of the pool.
    pub name: String,
    /// Whether the pool's workers refuse tasks that do not fit.
    pub is_guarded: bool,
    /// Whether the pool's machines are off until they move to another pool.
    pub is_standby: bool,
}
