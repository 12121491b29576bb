use crate::id;
use crate::worker;

/// What became of an order.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Of a start.
    Start {
        /// Task.
        task: id::TaskId,
        /// Run of the task.
        run: id::Run,
        /// Worker's answer.
        answer: StartAnswer,
        /// Worker's clock in milliseconds, if it answered.
        clock_ms: Option<u64>,
    },
    /// Of a stop.
    Stop {
        /// Task.
        task: id::TaskId,
        /// Run of the task.
        run: id::Run,
        /// Whether the worker took the order.
        is_taken: bool,
    },
    /// Of a pace.
    Pace {
        /// Task.
        task: id::TaskId,
        /// Run of the task.
        run: id::Run,
        /// Whether the worker took the order.
        is_taken: bool,
    },
    /// Of a look.
    Look(LookAnswer),
    /// The worker named is not there any more: another life answers, or nothing listens.
    LifeOver,
}

/// Worker's answer to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run is there.
    Started,
    /// The run was refused.
    Refused(Refusal),
    /// Nothing reached the worker.
    NotSent,
    /// The worker may have carried the order out, or may do so later.
    Unknown,
}

/// Why a start was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// A later leader has given orders.
    Fenced,
    /// This run, or a later one, ended or was stopped there.
    Superseded,
    /// The lease named had run out.
    LeaseOver,
    /// There was no room.
    NoRoom,
    /// The worker is not allowed to run the step.
    NotAllowed,
    /// The worker is unhealthy.
    Unhealthy,
    /// The order was malformed for the worker.
    Malformed,
}

/// Worker's answer to a look.
#[derive(Clone, Debug, PartialEq)]
pub enum LookAnswer {
    /// What runs and what has ended there.
    Report(worker::Report),
    /// A later leader has given orders.
    Fenced,
    /// There was no usable answer in time.
    Silent,
}
