use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use comfreymill_http::hop;
use comfreymill_http::server;
use comfreymill_ledger::request;
use comfreymill_types::error;
use comfreymill_types::id;

use super::attempt::ExecutorAnswer;
use super::context::Context;
use super::execution::RequestExecution;
use super::keyed_runs::{KeyedAction, RunResult};
use super::target::Target;
use crate::entry::dispatch;
use crate::metering::observe;
use crate::web;

/// Value of the metric label `part` for refusals to callers.
const PART: &str = "prompt";

/// Serves one request of a caller.
///
/// # Errors
///
/// The answer could not be written to the connection.
pub async fn serve(cx: &Context, mut req: server::Request<'_>) -> Result<(), server::ServerError> {
    match run(cx, &mut req).await {
        Ok(answer) => req.respond(answer.status, &answer.headers, answer.body).await,
        Err(Failure::Refused(error)) => {
            observe::refusal(PART, error.get_kind());
            web::answer_error(req, &error).await
        }
        // The HTTP server itself answers a request whose body cannot be read; a caller that has
        // disconnected gets no answer.
        Err(Failure::NoAnswer) => Ok(()),
    }
}

enum Failure {
    Refused(error::Error),
    NoAnswer,
}

impl From<error::Error> for Failure {
    fn from(error: error::Error) -> Self {
        Self::Refused(error)
    }
}

async fn run(cx: &Context, req: &mut server::Request<'_>) -> Result<ExecutorAnswer, Failure> {
    if let Some(token) = &cx.token {
        token.check(req.headers())?;
    }
    let target = Target::read(req.head())?;
    let dispatch::ClassView { class, team } = find_class(cx, &target).await?;
    let prompt = class.as_prompt().ok_or_else(|| class_not_found(&target))?;
    let timeout = target.time_left.unwrap_or(Duration::MAX).min(prompt.deadline.into());
    let body = req.collect(cx.max_body_bytes).await.map_err(|_| Failure::NoAnswer)?;
    let head = executor_head(req.head(), &target);
    let key = target.request_key();
    if key.is_none() && class.unrepeatable {
        return Err(key_required().into());
    }
    let number = cx.take_number();
    let digest = digest(&head, &target, &body);
    if let Some(key) = &key
        && let KeyedAction::Wait(result_rx) = cx.keyed_runs.begin(key, digest, number)?
    {
        return wait_for_run(cx, req, timeout, key, number, result_rx).await;
    }
    let (caller_guard, caller_disconnect) = flume::bounded(0);
    let (reply, result_rx) = flume::bounded(1);
    let cx = cx.clone();
    let head = Rc::new(head);
    let execution = RequestExecution {
        cx,
        number,
        target,
        class,
        team,
        timeout,
        head,
        body,
        key,
        digest,
        caller_disconnect,
    };
    monoio::spawn(execution.run(reply));
    monoio::select! {
        result = result_rx.recv_async() => {
            let mut answer = result.map_err(|_| Failure::NoAnswer)??;
            answer.headers.insert(web::REQUEST_HEADER, http::HeaderValue::from(number));
            Ok(answer)
        }
        () = req.closed() => {
            // A queued request is cancelled; a running one continues until its outcome is known, so
            // that its slot is released.
            drop(caller_guard);
            Err(Failure::NoAnswer)
        }
    }
}

/// Waits for the result of the request in progress with the same key.
async fn wait_for_run(
    cx: &Context,
    req: &mut server::Request<'_>,
    timeout: Duration,
    key: &request::RequestKey,
    number: u64,
    result_rx: flume::Receiver<RunResult>,
) -> Result<ExecutorAnswer, Failure> {
    let result = monoio::select! {
        result = monoio::time::timeout(timeout, result_rx.recv_async()) => result,
        () = req.closed() => {
            cx.keyed_runs.stop_waiting(key, number);
            return Err(Failure::NoAnswer);
        }
    };
    if let Ok(Ok(result)) = result {
        return Ok(result?);
    }
    cx.keyed_runs.stop_waiting(key, number);
    let message = "a request with the same key is still running on this entry";
    Err(error::Error::new(error::ErrorKind::DeadlineExceeded, message).into())
}

fn key_required() -> error::Error {
    let message = "the class is unrepeatable and requires an Idempotency-Key header";
    let error = error::Error::new(error::ErrorKind::KeyRequired, message);
    error.field(web::KEY_HEADER.as_str())
}

async fn find_class(cx: &Context, target: &Target) -> Result<dispatch::ClassView, error::Error> {
    let (stage_key, class, team) =
        (target.stage_key.clone(), target.class.clone(), target.team.clone());
    let class = cx.dispatcher.find_class(stage_key, class, team).await;
    class.ok_or_else(|| class_not_found(target))
}

fn class_not_found(target: &Target) -> error::Error {
    let message = format!("environment {} has no prompt class {}", target.stage_key, target.class);
    error::Error::new(error::ErrorKind::NotFound, message).field("class")
}

/// Returns the request head for the executor.
///
/// It omits the hop-by-hop headers, the host and the authorization of the caller.
fn executor_head(head: &http::request::Parts, target: &Target) -> http::request::Parts {
    let (mut forwarded, ()) = http::Request::new(()).into_parts();
    forwarded.method = head.method.clone();
    forwarded.uri = target.executor_uri.clone();
    forwarded.headers = head.headers.clone();
    hop::remove_hop_by_hop(&mut forwarded.headers);
    forwarded.headers.remove(http::header::HOST);
    forwarded.headers.remove(http::header::AUTHORIZATION);
    forwarded
}

fn digest(head: &http::request::Parts, target: &Target, body: &Bytes) -> id::Digest {
    let mut content =
        format!("{} {} {} ", head.method, target.class, target.executor_uri).into_bytes();
    content.extend_from_slice(body);
    id::Digest::of(&content)
}
