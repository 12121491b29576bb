use std::time::Duration;

use comfreymill_ledger::request;
use comfreymill_types::document;
use comfreymill_types::error;
use comfreymill_types::id;

use super::attempt::ExecutorAnswer;
use super::context::Context;
use super::keys::RunEnd;
use crate::protocol;

const OPEN_LIMIT: Duration = Duration::from_secs(5);
const CLOSE_LIMIT: Duration = Duration::from_secs(3);
const CLOSE_PAUSE: Duration = Duration::from_millis(500);
const MAX_CLOSE_TRIES: u32 = 600;
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// What the record of a key says to the request that carries it.
#[derive(Debug)]
pub(super) enum Opening {
    /// This request shall run.
    Run,
    /// It ran before; this is its answer.
    Stored(request::StoredAnswer),
}

/// Opens the record of a keyed request, and waits for a run in progress elsewhere.
pub(super) async fn open(
    cx: &Context,
    key: &request::RequestKey,
    class: &document::Class,
    digest: id::Digest,
    limit: Duration,
) -> Result<Opening, error::Error> {
    let began = cx.clock.now();
    loop {
        let call = protocol::Call::OpenRequest {
            key: key.clone(),
            digest,
            unrepeatable: class.unrepeatable,
        };
        match cx.link.call(call, limit.min(OPEN_LIMIT)).await? {
            protocol::Answer::Request(protocol::KeyedRequest::Opened) => {
                return Ok(Opening::Run);
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

/// Records how a keyed request ended; whether that is committed.
pub(super) async fn close(
    cx: &Context,
    key: &request::RequestKey,
    outcome: &request::RequestOutcome,
) -> bool {
    let (key, outcome) = (key.clone(), outcome.clone());
    let call = protocol::Call::CloseRequest { key, outcome };
    cx.link.call(call, CLOSE_LIMIT).await.is_ok()
}

/// Tries on to record the end of a request whose caller has been answered.
pub(super) async fn close_later(
    cx: &Context,
    key: &request::RequestKey,
    outcome: &request::RequestOutcome,
) {
    for _ in 0..MAX_CLOSE_TRIES {
        monoio::time::sleep(CLOSE_PAUSE).await;
        if close(cx, key, outcome).await {
            return;
        }
    }
    log::error!(target: "entry", "The end of request {key} could not be recorded.");
}

/// Outcome to record for the end of a run.
pub(super) fn outcome(end: &RunEnd) -> request::RequestOutcome {
    match end {
        Ok(answer) => answered(answer),
        Err(error) => failed(error),
    }
}

fn answered(answer: &ExecutorAnswer) -> request::RequestOutcome {
    let text = |value: &http::HeaderValue| value.to_str().ok().map(str::to_owned);
    let headers = answer.headers.iter();
    let headers = headers.filter_map(|(name, value)| Some((name.to_string(), text(value)?)));
    request::RequestOutcome::Answered(request::StoredAnswer {
        status: answer.status.as_u16(),
        headers: headers.collect(),
        body: Some(answer.body.clone()),
    })
}

fn failed(error: &error::Error) -> request::RequestOutcome {
    match error.get_kind().get_properties().run {
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

/// Answer of an earlier run.
pub(super) fn stored(answer: request::StoredAnswer) -> Result<ExecutorAnswer, error::Error> {
    let Some(body) = answer.body else {
        let message = "the request ran and its answer is no longer kept";
        return Err(error::Error::new(error::ErrorKind::AnswerNotKept, message));
    };
    let mut headers = http::HeaderMap::new();
    for (name, value) in answer.headers {
        let name = http::HeaderName::try_from(name);
        let value = http::HeaderValue::try_from(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    let status = http::StatusCode::from_u16(answer.status).unwrap_or(http::StatusCode::OK);
    Ok(ExecutorAnswer { status, headers, body })
}
