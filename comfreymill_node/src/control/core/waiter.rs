use comfreymill_batch::action;
use comfreymill_ledger::command;
use comfreymill_ledger::grant;

use crate::control::views;
use crate::peer::SessionId;
use crate::protocol;

/// Recipient of the result of a proposal.
#[derive(Debug)]
pub(super) enum Waiter {
    /// A call from an entry, which gets a reply.
    Call { session: SessionId, id: u64, format: ReplyFormat },
    /// The batch scheduler, which proposed this action.
    Scheduler(Box<action::Action>),
    /// The granters, which proposed these changes.
    Grants(Vec<grant::Grant>),
    /// No recipient.
    Nobody,
}

/// Format in which a reply of the ledger is returned to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReplyFormat {
    /// JSON text for an operator.
    Json,
    /// State of a keyed request.
    Request,
}

impl ReplyFormat {
    /// Converts a reply of the ledger to the result of the call.
    pub(super) fn to_call_result(self, reply: command::Reply) -> protocol::CallResult {
        match (self, reply) {
            (_, command::Reply::Refused { kind, message }) => {
                Err(comfreymill_types::error::Error::new(kind, message))
            }
            (Self::Json, reply) => Ok(protocol::Answer::Json(views::reply(&reply))),
            (Self::Request, command::Reply::Opened) => {
                Ok(protocol::Answer::Request(protocol::KeyedRequest::Opened))
            }
            (Self::Request, command::Reply::Known(state)) => {
                Ok(protocol::Answer::Request(protocol::KeyedRequest::Known(state)))
            }
            (Self::Request, _) => Ok(protocol::Answer::Done),
        }
    }
}
