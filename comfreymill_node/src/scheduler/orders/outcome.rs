use bytes::Bytes;
use comfreymill_jobs::scheduler;
use comfreymill_platform as platform;

/// Outcome of sending an order.
pub(super) enum Outcome {
    /// The worker answered with this status and body.
    Answered(http::StatusCode, Bytes),
    /// The connection was refused by the worker's machine or by the network.
    Refused,
    /// No part of the request was sent.
    NotSent,
    /// The order waited too long for earlier ones, and was not sent.
    Expired,
    /// A later order made this one pointless before it was sent.
    Replaced,
    /// The request may have reached the worker, but no complete answer arrived.
    Unanswered,
}

impl Outcome {
    /// Returns the label of the outcome in metrics.
    pub(super) fn label(&self) -> &'static str {
        match self {
            Self::Answered(status, _) if status.is_success() => "taken",
            Self::Answered(..) => "refused",
            Self::Refused => "not listening",
            Self::NotSent => "not sent",
            Self::Expired => "expired",
            Self::Replaced => "replaced",
            Self::Unanswered => "unanswered",
        }
    }

    /// Returns the answer that the decisions get for an order with this outcome.
    pub(super) fn into_answer(self, order: &scheduler::Order) -> scheduler::Answer {
        if let Self::Answered(http::StatusCode::MISDIRECTED_REQUEST, _) = self {
            return scheduler::Answer::WorkerGone;
        }
        match order {
            scheduler::Order::Start { task, run, .. } => {
                let (answer, clock_ms) = match self {
                    Self::Answered(status, body) => platform::decode_start(status, &body),
                    Self::NotSent | Self::Expired | Self::Replaced | Self::Refused => {
                        (scheduler::StartAnswer::NotSent, None)
                    }
                    Self::Unanswered => (scheduler::StartAnswer::Unknown, None),
                };
                scheduler::Answer::Start { task: *task, run: *run, answer, clock_ms }
            }
            scheduler::Order::Stop { task, run, .. } => {
                let is_accepted = self.is_accepted();
                scheduler::Answer::Stop { task: *task, run: *run, is_accepted }
            }
            scheduler::Order::Pace { task, run, .. } => {
                let is_accepted = self.is_accepted();
                scheduler::Answer::Pace { task: *task, run: *run, is_accepted }
            }
            scheduler::Order::Poll { .. } => scheduler::Answer::Poll(self.into_poll_answer(order)),
        }
    }

    fn is_accepted(&self) -> bool {
        matches!(self, Self::Answered(status, _) if platform::decode_accepted(*status))
    }

    fn into_poll_answer(self, order: &scheduler::Order) -> scheduler::PollAnswer {
        match self {
            Self::Answered(status, body) => {
                platform::decode_poll(status, &body).unwrap_or_else(|error| {
                    log::warn!(target: "workers", worker:% = order.worker(), reason:% = error; "a worker's answer to a poll is malformed");
                    scheduler::PollAnswer::NoAnswer
                })
            }
            Self::Refused => scheduler::PollAnswer::Unreachable,
            _ => scheduler::PollAnswer::NoAnswer,
        }
    }
}
