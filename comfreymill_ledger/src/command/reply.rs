use comfreymill_types::error;
use comfreymill_types::id;

use crate::request;

/// Result of applying a command.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The change was made, now or earlier by the same command.
    Done,
    /// The document was accepted in the stage, now or earlier by the same command.
    Document {
        /// Version of the accepted document.
        version: id::Version,
        /// Digest of the document.
        digest: id::Digest,
        /// Log index at which the document was accepted.
        revision: u64,
    },
    /// The job was accepted, now or earlier under the same key.
    Job {
        /// Id of the job.
        job: id::JobId,
    },
    /// The keyed request was opened by this command.
    Opened,
    /// A record of the keyed request already exists, in this state.
    Known(request::RequestState),
    /// The command was refused and changed nothing.
    Refused {
        /// Kind of error.
        kind: error::ErrorKind,
        /// Human-readable reason.
        message: String,
    },
}

impl Reply {
    /// Creates a refusal of `kind` with `message` as the reason.
    pub(crate) fn refused<M>(kind: error::ErrorKind, message: M) -> Self
    where
        M: Into<String>,
    {
        Self::Refused { kind, message: message.into() }
    }
}
