use comfreymill_types::error;
use comfreymill_types::id;

use crate::request;

/// What applying a command gave.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The change was made, or had been made before by the same command.
    Done,
    /// The document is in the stage.
    Document {
        /// Version now in the stage.
        version: id::Version,
        /// Digest of the document.
        digest: id::Digest,
        /// Log index at which it was accepted.
        revision: u64,
    },
    /// The job was accepted, now or before.
    Job {
        /// Number of the job.
        job: id::JobId,
    },
    /// The keyed request was opened by this command.
    Opened,
    /// The keyed request was there before.
    Known(request::RequestState),
    /// Nothing was changed.
    Refused {
        /// Kind of the refusal.
        kind: error::ErrorKind,
        /// Message for people.
        message: String,
    },
}

impl Reply {
    /// Refusal of `kind`.
    pub(crate) fn refused<M>(kind: error::ErrorKind, message: M) -> Self
    where
        M: Into<String>,
    {
        Self::Refused { kind, message: message.into() }
    }
}
