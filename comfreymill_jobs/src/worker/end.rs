use crate::id;

/// End of a run, as its worker lists it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct End {
    /// Position in the worker's list of ends.
    pub number: u64,
    /// Task.
    pub task: id::TaskId,
    /// Run of the task.
    pub run: id::Run,
    /// How it ended.
    pub kind: EndKind,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum EndKind {
    /// With its work done.
    Done,
    /// Through a fault of its own or of the worker.
    Failed,
    /// By an order.
    Stopped,
    /// Since its lease ran out.
    Lapsed,
    /// Since another member of its gang ended.
    GangBroken,
    /// Since the other members of its gang did not come in time.
    GangIncomplete,
}
