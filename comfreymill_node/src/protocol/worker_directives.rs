use comfreymill_batch::action;
use comfreymill_types::time;

/// Answer to a worker's heartbeat, which lists all attempts that are to run on the worker.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerDirectives {
    /// Sequence number of the answered heartbeat.
    pub sequence: u64,
    /// Duration of the lease of every listed attempt, counted from the sending of the heartbeat.
    pub lease: time::Span,
    /// Time until the next heartbeat.
    pub next_in: time::Span,
    /// Attempts that are to run; the worker stops every other attempt.
    pub attempts: Vec<AttemptDirective>,
}

/// Attempt with the data that the worker needs to run it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AttemptDirective {
    /// Attempt, class, size, checkpoint and directive.
    pub assignment: action::Assignment,
    /// Payload from the submitter to the worker, opaque to the scheduler.
    pub payload: String,
}
