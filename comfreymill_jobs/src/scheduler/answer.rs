use crate::id;
use crate::worker;

/// Outcome of an order.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Outcome of a start order.
    Start {
        /// Task that was to be started.
        task: id::TaskId,
        /// Number of the run.
        run: id::Run,
        /// Worker's answer.
        answer: StartAnswer,
        /// Reading of the worker's clock in milliseconds, if the answer has one.
        clock_ms: Option<u64>,
    },
    /// Outcome of a stop order.
    Stop {
        /// Task that was to be stopped.
        task: id::TaskId,
        /// Number of the run.
        run: id::Run,
        /// Whether the worker accepted the order.
        is_accepted: bool,
    },
    /// Outcome of a pace order.
    Pace {
        /// Task whose pace was to be set.
        task: id::TaskId,
        /// Number of the run.
        run: id::Run,
        /// Whether the worker accepted the order.
        is_accepted: bool,
    },
    /// Outcome of a poll.
    Poll(PollAnswer),
    /// The worker incarnation is gone: another incarnation answers.
    WorkerGone,
}

/// Outcome of a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The worker has started the run.
    Started,
    /// The worker refused the run.
    Refused(Refusal),
    /// The order did not reach the worker.
    NotSent,
    /// The worker may have carried the order out, or may do so later.
    Unknown,
}

/// Reason for which a worker refused a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The worker follows a later leader.
    Fenced,
    /// This run or a later one of the task has ended or was stopped on the worker.
    Superseded,
    /// The lease named in the order had expired.
    LeaseOver,
    /// The worker did not have enough free resources.
    NoRoom,
    /// The worker is not allowed to run the step.
    NotAllowed,
    /// The worker is unhealthy.
    Unhealthy,
    /// The order was malformed for the worker.
    Malformed,
}

/// Outcome of a poll.
#[derive(Clone, Debug, PartialEq)]
pub enum PollAnswer {
    /// The worker's report of running and ended runs.
    Report(worker::Report),
    /// The worker follows a later leader.
    Fenced,
    /// No usable answer arrived in time.
    NoAnswer,
    /// The connection was refused. The worker may have ended, or a network between refuses
    /// connections to it while it works on.
    Unreachable,
}
