use std::collections::{BTreeMap, VecDeque};

use comfreymill_types::id;

use crate::command;

const MAX_OPERATIONS: usize = 20_000;

/// First reply to each operation. The oldest ones are dropped beyond the limit.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperationLog {
    replies: BTreeMap<id::OperationId, RecordedReply>,
    order: VecDeque<id::OperationId>,
}

#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct RecordedReply {
    request: id::Digest,
    reply: command::Reply,
}

impl OperationLog {
    /// Returns the digest of the request of `operation` and the first reply to it.
    pub fn get(&self, operation: &id::OperationId) -> Option<(id::Digest, &command::Reply)> {
        self.replies.get(operation).map(|recorded| (recorded.request, &recorded.reply))
    }

    /// Records the first reply to `operation`, which must not be recorded yet.
    pub fn record(
        &mut self,
        operation: id::OperationId,
        request: id::Digest,
        reply: command::Reply,
    ) {
        if self.order.len() >= MAX_OPERATIONS
            && let Some(oldest) = self.order.pop_front()
        {
            self.replies.remove(&oldest);
        }
        self.order.push_back(operation.clone());
        self.replies.insert(operation, RecordedReply { request, reply });
    }
}
