use std::time::Duration;

use bytes::Bytes;
use comfreymill_http::hop;
use comfreymill_http::server;
use comfreymill_ledger::request;
use comfreymill_route::router;
use comfreymill_types::error;
use comfreymill_types::id;

use super::attempt::{self, ExecutorAnswer};
use super::context::Context;
use super::keyed;
use super::target::Target;
use crate::entry::dispatch;
use crate::metering::observe;
use crate::web;

const NO_TEAM: &str = "none";

/// Serves one request of a caller.
///
/// # Errors
///
/// The caller did not take the answer.
pub async fn serve(cx: &Context, mut req: server::Request<'_>) -> Result<(), server::ServerError> {
    match run(cx, &mut req).await {
        Ok(answer) => req.respond(answer.status, &answer.headers, answer.body).await,
        Err(Failure::Refused(error)) => {
            observe::refusal("callers", error.get_kind());
            web::answer_error(req, &error).await
        }
        // The connection answers for a body that is at fault.
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
    let view = find_class(cx, &target).await?;
    let began = cx.clock.now();
    let result = run_known(cx, req, &target, &view).await;
    let run = match &result {
        Ok(_) => error::RunState::Run,
        Err(Failure::Refused(error)) => error.get_kind().get_answer().run,
        Err(Failure::Body) => error::RunState::NotRun,
    };
    observe::request(tenant(&view), run);
    observe::request_latency(tenant(&view), cx.clock.now().since(began));
    result
}

/// Runs a request whose class is known.
async fn run_known(
    cx: &Context,
    req: &mut server::Request<'_>,
    target: &Target,
    view: &dispatch::ClassView,
) -> Result<ExecutorAnswer, Failure> {
    let class = &view.class;
    let prompt = class.as_prompt().ok_or_else(|| no_prompt(target))?;
    let limit = target.time_left.unwrap_or(Duration::MAX).min(prompt.deadline.into());
    let body = req.collect(cx.max_body_bytes).await.map_err(|_| Failure::Body)?;
    let head = executor_head(req.head(), target);
    let Some(key) = &target.key else {
        if class.unrepeatable {
            let message = "the class is unrepeatable; name the request by an Idempotency-Key";
            let error = error::Error::new(error::ErrorKind::KeyRequired, message);
            return Err(error.field(web::KEY_HEADER.as_str()).into());
        }
        return Ok(dispatch(cx, target, view, limit, &head, &body).await?);
    };
    let digest = digest(&head, target, &body);
    match keyed::open(cx, target, key, class, digest, limit).await? {
        keyed::Opening::Stored(answer) => Ok(stored(answer)?),
        keyed::Opening::Run(key) => {
            let result = dispatch(cx, target, view, limit, &head, &body).await;
            let outcome = match &result {
                Ok(answer) => keyed::answered(answer),
                Err(error) => keyed::failed(error),
            };
            keyed::close(cx, key, outcome).await?;
            Ok(result?)
        }
    }
}

/// Takes orders until the request is over.
async fn dispatch(
    cx: &Context,
    target: &Target,
    class: &dispatch::ClassView,
    limit: Duration,
    head: &http::request::Parts,
    body: &Bytes,
) -> Result<ExecutorAnswer, error::Error> {
    let arrival = cx.clock.now();
    let deadline = arrival + limit;
    let team = target.team.clone().or_else(|| NO_TEAM.parse().ok());
    let view = router::RequestView {
        id: cx.take_number(),
        class: target.class.clone(),
        team: team.expect("the name is valid"),
        arrival,
        deadline: Some(deadline),
        keyed: target.key.is_some(),
        unrepeatable: class.class.unrepeatable,
    };
    let mut ticket = cx.dispatcher.submit(target.desk.clone(), view);
    loop {
        let (address, far_region) = match ticket.next().await {
            dispatch::DispatchOrder::Send {
                address, attempt, slots_in_use, far_region, ..
            } => {
                if attempt == 1 {
                    observe::queue_wait(tenant(class), cx.clock.now().since(arrival));
                }
                observe::slots_in_use(tenant(class), slots_in_use);
                (address, far_region)
            }
            dispatch::DispatchOrder::Refuse(error) => return Err(error),
        };
        let left = deadline.since(cx.clock.now());
        let attempt = attempt::attempt(cx, address, far_region.as_ref(), head, body.clone());
        let (outcome, answer) =
            monoio::time::timeout(left, attempt).await.unwrap_or((router::Outcome::TimedOut, None));
        ticket.finished(outcome);
        if let Some(answer) = answer {
            return Ok(answer);
        }
    }
}

async fn find_class(cx: &Context, target: &Target) -> Result<dispatch::ClassView, error::Error> {
    let (desk, class, team) = (target.desk.clone(), target.class.clone(), target.team.clone());
    cx.dispatcher.class(desk, class, team).await.ok_or_else(|| no_prompt(target))
}

/// Team and class in metrics: only names that the document has.
fn tenant(view: &dispatch::ClassView) -> observe::Tenant<'_> {
    observe::Tenant { team: view.team.as_ref(), class: &view.class.name }
}

fn no_prompt(target: &Target) -> error::Error {
    let message = format!("{} has no prompt class {}", target.desk, target.class);
    error::Error::new(error::ErrorKind::NotFound, message).field("class")
}

/// Head for the executor: the caller's, without what belongs to the caller's connection.
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

fn stored(answer: request::StoredAnswer) -> Result<ExecutorAnswer, error::Error> {
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
