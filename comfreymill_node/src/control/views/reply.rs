use bytes::Bytes;
use comfreymill_ledger::command;
use comfreymill_types::id;

use super::to_json;

#[derive(serde::Serialize)]
struct DocumentReply {
    version: id::Version,
    digest: id::Digest,
    revision: u64,
}

#[derive(serde::Serialize)]
struct JobReply {
    job: id::JobId,
}

#[derive(serde::Serialize)]
struct DoneReply {
    done: bool,
}

/// Returns the JSON text for a reply of the ledger that is not a refusal.
pub(in crate::control) fn reply(reply: &command::Reply) -> Bytes {
    match reply {
        command::Reply::Document { version, digest, revision } => {
            to_json(&DocumentReply { version: *version, digest: *digest, revision: *revision })
        }
        command::Reply::Job { job } => to_json(&JobReply { job: *job }),
        command::Reply::Done
        | command::Reply::Opened
        | command::Reply::Known(_)
        | command::Reply::Refused { .. } => to_json(&DoneReply { done: true }),
    }
}
