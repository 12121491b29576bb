//! Names, keys and numeric ids.
//!
//! A name has 1 to 63 lower-case letters, digits, dots, hyphens or underscores and starts with a
//! letter or digit. A key has 1 to 255 visible ASCII characters; the rule is looser because callers
//! and operators choose their own keys.

#[macro_use]
mod macros;

mod attempt_id;
mod digest;
mod incarnation;
mod job_id;
mod key;
mod name;
mod task_id;
mod version;

pub use attempt_id::{AttemptId, AttemptNumber};
pub use digest::Digest;
pub use incarnation::Incarnation;
pub use job_id::JobId;
pub use key::{IdempotencyKey, OperationId};
pub use name::{
    ClassName, ClusterName, EntryName, EnvironmentName, ExecutorName, RackName, RegionName,
    ServiceName, TeamName, VoterName, WorkerName, ZoneName,
};
pub use task_id::TaskId;
pub use version::Version;

/// Error returned when a string is not a valid id of the expected kind.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{text}` is no {kind}: {rule}")]
pub struct ParseIdError {
    kind: &'static str,
    text: String,
    rule: &'static str,
}

impl ParseIdError {
    pub(crate) fn new(kind: &'static str, text: &str, rule: &'static str) -> Self {
        let text = text.chars().take(80).collect();
        Self { kind, text, rule }
    }
}
