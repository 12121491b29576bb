use std::time::Duration;

use comfreymill_ledger::request;
use comfreymill_types::document;
use comfreymill_types::error;
use comfreymill_types::id;

use super::attempt::ExecutorAnswer;
use super::context::Context;
use super::target::Target;
use crate::protocol;

const OPEN_LIMIT: Duration = Duration::from_secs(5);
const CLOSE_LIMIT: Duration = Duration::from_secs(30);
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// What the record of a key says to the request that carries it.
#[derive(Debug)]
pub(super) enum Opening {
    /// This request shall run.
    Run(request::RequestKey),
    /// It ran before; this is its answer.
    Stored(request::StoredAnswer),
}

/// Opens the record of a keyed request, and waits for a run in progress elsewhere.
pub(super) async fn open(
    cx: &Context,
    target: &Target,
    key: &id::IdempotencyKey,
    class: &document::Class,
    digest: id::Digest,
    limit: Duration,
) -> Result<Opening, error::Error> {
    let key = request::RequestKey {
        environment: target.desk.environment.clone(),
        stage: target.desk.stage,
        team: target.team.clone(),
        key: key.clone(),
    };
    let began = cx.clock.now();
    loop {
        let call = protocol::Call::OpenRequest {
            key: key.clone(),
            digest,
            unrepeatable: class.unrepeatable,
        };
        match cx.link.call(call, limit.min(OPEN_LIMIT)).await? {
            protocol::Answer::Request(protocol::KeyedRequest::Opened) => {
                return Ok(Opening::Run(key));
            }
            protocol::Answer::Request(protocol::KeyedRequest::Known(state)) => {
                if let Some(end) = known(state) {
                    return end;
                }
            }
            _ => return Err(unexpected()),
        }
        if cx.clock.now().since(began) >= limit {
            let message = "the same request is still running elsewhere";
            return Err(error::Error::new(error::ErrorKind::DeadlineExceeded, message));
        }
        monoio::time::sleep(POLL_PERIOD).await;
    }
}

/// Records how a keyed request ended.
pub(super) async fn close(
    cx: &Context,
    key: request::RequestKey,
    outcome: request::RequestOutcome,
) -> Result<(), error::Error> {
    let call = protocol::Call::CloseRequest { key, outcome };
    cx.link.call(call, CLOSE_LIMIT).await.map(|_| ())
}

/// Outcome to record for an answer.
pub(super) fn answered(answer: &ExecutorAnswer) -> request::RequestOutcome {
    let text = |value: &http::HeaderValue| value.to_str().ok().map(str::to_owned);
    let headers = answer.headers.iter();
    let headers = headers.filter_map(|(name, value)| Some((name.to_string(), text(value)?)));
    request::RequestOutcome::Answered(request::StoredAnswer {
        status: answer.status.as_u16(),
        headers: headers.collect(),
        body: Some(answer.body.clone()),
    })
}

/// Outcome to record for an error.
pub(super) fn failed(error: &error::Error) -> request::RequestOutcome {
    match error.get_kind().get_answer().run {
        error::RunState::NotRun => request::RequestOutcome::NotRun,
        error::RunState::Run | error::RunState::Unknown => request::RequestOutcome::Unknown,
    }
}

fn known(state: request::RequestState) -> Option<Result<Opening, error::Error>> {
    match state {
        request::RequestState::Open(_) => None,
        request::RequestState::Answered(answer) => Some(Ok(Opening::Stored(answer))),
        request::RequestState::Unknown => {
            let message = "the request was sent before and its outcome is not known";
            Some(Err(error::Error::new(error::ErrorKind::OutcomeUnknown, message)))
        }
    }
}

fn unexpected() -> error::Error {
    error::Error::new(error::ErrorKind::Internal, "the leader's answer does not fit the call")
}
