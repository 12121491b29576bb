use std::time::Duration;

use comfreymill_ledger::request;
use comfreymill_types::document;
use comfreymill_types::error;
use comfreymill_types::id;

use super::attempt::ExecutorAnswer;
use super::context::Context;
use super::keyed_runs::RunResult;
use crate::protocol;

const OPEN_TIMEOUT: Duration = Duration::from_secs(5);
const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);
const CLOSE_RETRY_PERIOD: Duration = Duration::from_millis(500);
const MAX_CLOSE_RETRIES: u32 = 600;
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// What a request must do according to the record of its key.
#[derive(Debug)]
pub(super) enum OpenResult {
    /// Run the request: its record was opened.
    Run,
    /// Return the stored answer of an earlier run.
    Stored(request::StoredAnswer),
}

/// Opens the record of a keyed request, waiting while the request is running elsewhere.
pub(super) async fn open(
    cx: &Context,
    key: &request::RequestKey,
    class: &document::Class,
    digest: id::Digest,
    timeout: Duration,
) -> Result<OpenResult, error::Error> {
    let started_at = cx.clock.now();
    loop {
        let call = protocol::Call::OpenRequest {
            key: key.clone(),
            digest,
            unrepeatable: class.unrepeatable,
        };
        match cx.link.call(call, timeout.min(OPEN_TIMEOUT)).await? {
            protocol::Answer::Request(protocol::KeyedRequest::Opened) => {
                return Ok(OpenResult::Run);
            }
            protocol::Answer::Request(protocol::KeyedRequest::Known(state)) => {
                if let Some(result) = result_of_state(state) {
                    return result;
                }
            }
            _ => return Err(unexpected_answer()),
        }
        if cx.clock.now().since(started_at) >= timeout {
            let message = "a request with the same key is still running elsewhere";
            return Err(error::Error::new(error::ErrorKind::DeadlineExceeded, message));
        }
        monoio::time::sleep(POLL_PERIOD).await;
    }
}

/// Records the outcome of a keyed request, and returns whether the record was committed.
pub(super) async fn close(
    cx: &Context,
    key: &request::RequestKey,
    outcome: &request::RequestOutcome,
) -> bool {
    let (key, outcome) = (key.clone(), outcome.clone());
    let call = protocol::Call::CloseRequest { key, outcome };
    cx.link.call(call, CLOSE_TIMEOUT).await.is_ok()
}

/// Retries recording the outcome of a request whose caller has already been answered.
pub(super) async fn retry_close(
    cx: &Context,
    key: &request::RequestKey,
    outcome: &request::RequestOutcome,
) {
    for _ in 0..MAX_CLOSE_RETRIES {
        monoio::time::sleep(CLOSE_RETRY_PERIOD).await;
        if close(cx, key, outcome).await {
            return;
        }
    }
    log::error!(target: "entry", "Outcome of request {key} could not be recorded.");
}

/// Returns the outcome to record for the result of a run.
pub(super) fn outcome(result: &RunResult) -> request::RequestOutcome {
    match result {
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

fn result_of_state(state: request::RequestState) -> Option<Result<OpenResult, error::Error>> {
    match state {
        request::RequestState::Open(_) => None,
        request::RequestState::Answered(answer) => Some(Ok(OpenResult::Stored(answer))),
        request::RequestState::Unknown => {
            let message =
                "an earlier request with the same key was sent and its outcome is unknown";
            Some(Err(error::Error::new(error::ErrorKind::OutcomeUnknown, message)))
        }
    }
}

fn unexpected_answer() -> error::Error {
    error::Error::new(
        error::ErrorKind::Internal,
        "the leader's answer has an unexpected type for the call",
    )
}

/// Returns the stored answer of an earlier run.
///
/// # Errors
///
/// `answer-not-kept` if the body is no longer stored.
pub(super) fn stored_result(answer: request::StoredAnswer) -> Result<ExecutorAnswer, error::Error> {
    let Some(body) = answer.body else {
        let message =
            "an earlier request with the same key ran, but its answer is no longer stored";
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
