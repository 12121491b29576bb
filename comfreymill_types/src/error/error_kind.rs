use std::fmt;
use std::str;

use super::{ErrorProperties, RunState};

/// Error returned when a string is not the name of an error kind.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{text}` is not an error kind")]
pub struct ParseErrorKindError {
    text: String,
}

/// Kind of an error; the list is closed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// The request is malformed.
    BadRequest,
    /// The settings file is invalid.
    InvalidSettings,
    /// The environment document is invalid.
    InvalidDocument,
    /// The job is invalid.
    InvalidJob,
    /// The class is unrepeatable and the request has no idempotency key.
    KeyRequired,
    /// The idempotency key was already used for another request.
    KeyReused,
    /// The bearer token is missing or wrong.
    Unauthorized,
    /// The peer belongs to another cluster or uses another protocol version.
    ForeignCluster,
    /// No object with this name exists.
    NotFound,
    /// The path does not support this HTTP method.
    MethodNotAllowed,
    /// A concurrent change was applied first.
    Conflict,
    /// The request body exceeds its size limit.
    BodyTooLarge,
    /// The request head exceeds its size limit.
    HeadTooLarge,
    /// The caller sent the request too slowly.
    CallerTimeout,
    /// The request needs a feature that is not supported.
    Unsupported,
    /// The request's expectation is not supported.
    ExpectationFailed,
    /// The team has reached its quota.
    QuotaExceeded,
    /// The estimated queueing time exceeds the deadline.
    Overloaded,
    /// The queue of the class is full.
    QueueFull,
    /// The deadline passed before the request was sent to an executor.
    ExpiredInQueue,
    /// No executor of the service is reachable.
    NoExecutor,
    /// The process is shutting down.
    Draining,
    /// The group has no reachable leader.
    NoLeader,
    /// The node cannot confirm that its configuration is current.
    NotCurrent,
    /// The node is unreachable.
    Unreachable,
    /// The task can never fit on any worker.
    NeverFits,
    /// The request was sent, but its outcome is unknown.
    OutcomeUnknown,
    /// The deadline passed while the request was running.
    DeadlineExceeded,
    /// The change was proposed, but its outcome is unknown.
    CommitUnknown,
    /// The executor's response was truncated or malformed.
    UpstreamAnswer,
    /// The request ran, but its response is no longer stored.
    AnswerNotKept,
    /// The data folder cannot be read or written.
    Storage,
    /// An internal error occurred.
    Internal,
}

struct Row {
    kind: ErrorKind,
    name: &'static str,
    properties: ErrorProperties,
}

const fn row(
    kind: ErrorKind,
    name: &'static str,
    status: u16,
    run: RunState,
    resend: bool,
    exit_code: u8,
) -> Row {
    Row { kind, name, properties: ErrorProperties { status, run, resend, exit_code } }
}

#[rustfmt::skip]
const TABLE: &[Row] = &[
    row(ErrorKind::BadRequest, "bad-request", 400, RunState::NotRun, false, 2),
    row(ErrorKind::InvalidSettings, "invalid-settings", 500, RunState::NotRun, false, 2),
    row(ErrorKind::InvalidDocument, "invalid-document", 422, RunState::NotRun, false, 2),
    row(ErrorKind::InvalidJob, "invalid-job", 422, RunState::NotRun, false, 2),
    row(ErrorKind::KeyRequired, "key-required", 400, RunState::NotRun, false, 2),
    row(ErrorKind::KeyReused, "key-reused", 422, RunState::NotRun, false, 2),
    row(ErrorKind::Unauthorized, "unauthorized", 401, RunState::NotRun, false, 3),
    row(ErrorKind::ForeignCluster, "foreign-cluster", 403, RunState::NotRun, false, 3),
    row(ErrorKind::NotFound, "not-found", 404, RunState::NotRun, false, 5),
    row(ErrorKind::MethodNotAllowed, "method-not-allowed", 405, RunState::NotRun, false, 2),
    row(ErrorKind::Conflict, "conflict", 409, RunState::NotRun, false, 6),
    row(ErrorKind::BodyTooLarge, "body-too-large", 413, RunState::NotRun, false, 2),
    row(ErrorKind::HeadTooLarge, "head-too-large", 431, RunState::NotRun, false, 2),
    row(ErrorKind::CallerTimeout, "caller-timeout", 408, RunState::NotRun, true, 7),
    row(ErrorKind::Unsupported, "unsupported", 501, RunState::NotRun, false, 2),
    row(ErrorKind::ExpectationFailed, "expectation-failed", 417, RunState::NotRun, false, 2),
    row(ErrorKind::QuotaExceeded, "quota-exceeded", 429, RunState::NotRun, true, 8),
    row(ErrorKind::Overloaded, "overloaded", 503, RunState::NotRun, true, 8),
    row(ErrorKind::QueueFull, "queue-full", 503, RunState::NotRun, true, 8),
    row(ErrorKind::ExpiredInQueue, "expired-in-queue", 503, RunState::NotRun, true, 8),
    row(ErrorKind::NoExecutor, "no-executor", 503, RunState::NotRun, true, 8),
    row(ErrorKind::Draining, "draining", 503, RunState::NotRun, true, 8),
    row(ErrorKind::NoLeader, "no-leader", 503, RunState::NotRun, true, 4),
    row(ErrorKind::NotCurrent, "not-current", 503, RunState::NotRun, true, 4),
    row(ErrorKind::Unreachable, "unreachable", 503, RunState::NotRun, true, 4),
    row(ErrorKind::NeverFits, "never-fits", 422, RunState::NotRun, false, 9),
    row(ErrorKind::OutcomeUnknown, "outcome-unknown", 502, RunState::Unknown, false, 10),
    row(ErrorKind::DeadlineExceeded, "deadline-exceeded", 504, RunState::Unknown, false, 10),
    row(ErrorKind::CommitUnknown, "commit-unknown", 504, RunState::Unknown, true, 10),
    row(ErrorKind::UpstreamAnswer, "upstream-answer", 502, RunState::Run, false, 10),
    row(ErrorKind::AnswerNotKept, "answer-not-kept", 410, RunState::Run, false, 10),
    row(ErrorKind::Storage, "storage", 500, RunState::Unknown, false, 11),
    row(ErrorKind::Internal, "internal", 500, RunState::Unknown, false, 70),
];

impl ErrorKind {
    /// Returns all kinds in declaration order.
    pub fn all() -> impl Iterator<Item = Self> {
        TABLE.iter().map(|row| row.kind)
    }

    /// Returns the name used in headers, logs and JSON.
    pub fn as_str(self) -> &'static str {
        self.row().name
    }

    /// Returns how the kind is reported.
    pub fn get_properties(self) -> ErrorProperties {
        self.row().properties
    }

    fn row(self) -> &'static Row {
        let row = &TABLE[self as usize];
        debug_assert_eq!(row.kind, self, "TABLE lists the kinds in declaration order");
        row
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl str::FromStr for ErrorKind {
    type Err = ParseErrorKindError;

    fn from_str(text: &str) -> Result<Self, ParseErrorKindError> {
        let row = TABLE.iter().find(|row| row.name == text);
        row.map(|row| row.kind).ok_or_else(|| ParseErrorKindError { text: text.to_owned() })
    }
}
