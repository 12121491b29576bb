use crate::id;

/// End of a run, as reported by its worker.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct End {
    /// Sequence number of the end on its worker.
    pub number: u64,
    /// Task whose run ended.
    pub task: id::TaskId,
    /// Number of the run.
    pub run: id::Run,
    /// How the run ended.
    pub kind: EndKind,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum EndKind {
    /// The run completed its work.
    Done,
    /// The run failed through a fault of its own or of the worker.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of the run's gang ended.
    GangBroken,
    /// The other members of the run's gang did not start in time.
    GangIncomplete,
}
