use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use comfreymill_http::hop;
use comfreymill_http::server;
use comfreymill_ledger::request;
use comfreymill_types::error;
use comfreymill_types::id;

use super::attempt::ExecutorAnswer;
use super::conduct::Conduct;
use super::context::Context;
use super::keys::{RunEnd, Turn};
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
        Err(Failure::Body) => Ok(()),
    }
}

enum Failure {
    Refused(error::Error),
    Body,
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
    let prompt = class.as_prompt().ok_or_else(|| no_prompt(&target))?;
    let limit = target.time_left.unwrap_or(Duration::MAX).min(prompt.deadline.into());
    let body = req.collect(cx.max_body_bytes).await.map_err(|_| Failure::Body)?;
    let head = executor_head(req.head(), &target);
    let key = target.request_key();
    if key.is_none() && class.unrepeatable {
        return Err(key_required().into());
    }
    let number = cx.take_number();
    let digest = digest(&head, &target, &body);
    if let Some(key) = &key
        && let Turn::Wait(end) = cx.keys.begin(key, digest, number)?
    {
        return wait(cx, req, limit, key, number, end).await;
    }
    let (caller_stays, caller) = flume::bounded(0);
    let (reply, end) = flume::bounded(1);
    let cx = cx.clone();
    let head = Rc::new(head);
    let conduct =
        Conduct { cx, number, target, class, team, limit, head, body, key, digest, caller };
    monoio::spawn(conduct.run(reply));
    monoio::select! {
        end = end.recv_async() => {
            let mut answer = end.map_err(|_| Failure::Body)??;
            answer.headers.insert(web::REQUEST_HEADER, http::HeaderValue::from(number));
            Ok(answer)
        }
        () = req.closed() => {
            // A queued request is cancelled; a running one continues until its outcome is known, so
            // that its slot is released.
            drop(caller_stays);
            Err(Failure::Body)
        }
    }
}

/// Waits for the result of the request in progress with the same key.
async fn wait(
    cx: &Context,
    req: &mut server::Request<'_>,
    limit: Duration,
    key: &request::RequestKey,
    number: u64,
    end: flume::Receiver<RunEnd>,
) -> Result<ExecutorAnswer, Failure> {
    let end = monoio::select! {
        end = monoio::time::timeout(limit, end.recv_async()) => end,
        () = req.closed() => {
            cx.keys.leave(key, number);
            return Err(Failure::Body);
        }
    };
    if let Ok(Ok(end)) = end {
        return Ok(end?);
    }
    cx.keys.leave(key, number);
    let message = "a request with the same key is still running on this entry";
    Err(error::Error::new(error::ErrorKind::DeadlineExceeded, message).into())
}

fn key_required() -> error::Error {
    let message = "the class is unrepeatable and requires an Idempotency-Key header";
    let error = error::Error::new(error::ErrorKind::KeyRequired, message);
    error.field(web::KEY_HEADER.as_str())
}

async fn find_class(cx: &Context, target: &Target) -> Result<dispatch::ClassView, error::Error> {
    let (desk, class, team) = (target.desk.clone(), target.class.clone(), target.team.clone());
    let class = cx.dispatcher.class(desk, class, team).await;
    class.ok_or_else(|| no_prompt(target))
}

fn no_prompt(target: &Target) -> error::Error {
    let message = format!("environment {} has no prompt class {}", target.desk, target.class);
    error::Error::new(error::ErrorKind::NotFound, message).field("class")
}

/// Returns the request head for the executor.
///
/// It omits the hop-by-hop headers, the host and the authorization of the caller.
fn executor_head(head: &http::request::Parts, target: &Target) -> http::request::Parts {
    let (mut forwarded, ()) = http::Request::new(()).into_parts();
    forwarded.method = head.method.clone();
    forwarded.uri = target.rest.clone();
    forwarded.headers = head.headers.clone();
    hop::remove_hop_by_hop(&mut forwarded.headers);
    forwarded.headers.remove(http::header::HOST);
    forwarded.headers.remove(http::header::AUTHORIZATION);
    forwarded
}

fn digest(head: &http::request::Parts, target: &Target, body: &Bytes) -> id::Digest {
    let mut asked = format!("{} {} {} ", head.method, target.class, target.rest).into_bytes();
    asked.extend_from_slice(body);
    id::Digest::of(&asked)
}
