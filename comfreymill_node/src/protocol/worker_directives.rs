use comfreymill_batch::action;
use comfreymill_types::time;

/// Answer to a worker's heartbeat: all that shall run there.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerDirectives {
    /// Sequence of the heartbeat that is answered.
    pub sequence: u64,
    /// Length of the lease of every attempt listed, from the sending of the heartbeat.
    pub lease: time::Span,
    /// Time until the next heartbeat.
    pub next_in: time::Span,
    /// Attempts that shall be there; whatever is not listed shall stop.
    pub attempts: Vec<AttemptDirective>,
}

/// One attempt with what the worker needs to run it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AttemptDirective {
    /// Attempt, class, size, checkpoint and directive.
    pub assignment: action::Assignment,
    /// What the submitter told the worker, opaque to the system.
    pub payload: String,
}
