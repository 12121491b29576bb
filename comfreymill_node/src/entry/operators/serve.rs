use std::time::Duration;

use bytes::Bytes;
use comfreymill_http::server;
use comfreymill_types::error;

use super::Context;
use super::route::Route;
use crate::metering::observe;
use crate::protocol;
use crate::web;

const MAX_BODY_BYTES: u64 = 1 << 20;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves one request of an operator.
///
/// # Errors
///
/// The answer could not be written to the connection.
pub async fn serve(cx: &Context, mut req: server::Request<'_>) -> Result<(), server::ServerError> {
    // The HTTP server itself answers a request whose body cannot be read.
    let Ok(body) = req.collect(MAX_BODY_BYTES).await else { return Ok(()) };
    match run(cx, &req, &body).await {
        Ok(Reply::Json(body)) => web::answer_json(req, body).await,
        Ok(Reply::Text(body)) => web::answer_text(req, body).await,
        Err(error) => {
            observe::refusal("operators", error.get_kind());
            web::answer_error(req, &error).await
        }
    }
}

enum Reply {
    Json(Bytes),
    Text(Bytes),
}

async fn run(cx: &Context, req: &server::Request<'_>, body: &[u8]) -> Result<Reply, error::Error> {
    let route = Route::read(req.head(), body);
    let is_public = route.as_ref().is_ok_and(Route::is_public);
    if let Some(token) = &cx.token
        && !is_public
    {
        token.check(req.headers())?;
    }
    match route? {
        Route::Health => Ok(Reply::Text(Bytes::from_static(b"ok\n"))),
        Route::Ready => ready(cx).await,
        Route::Metrics => Ok(Reply::Text(cx.meter.render().into())),
        Route::Drain => {
            cx.drain.send(()).ok();
            Ok(Reply::Json(Bytes::from_static(b"{\"draining\":true}")))
        }
        Route::Decisions(request) => decisions(cx, request).await,
        Route::Leader(operation) => call_leader(cx, operation).await,
    }
}

async fn decisions(cx: &Context, request: Option<u64>) -> Result<Reply, error::Error> {
    let decisions = cx.dispatcher.decisions(request).await;
    if decisions.is_empty() && request.is_some() {
        let message = "no decisions on the request are retained by this entry";
        return Err(error::Error::new(error::ErrorKind::NotFound, message).field("request"));
    }
    Ok(Reply::Json(serde_json::to_vec(&decisions).unwrap_or_default().into()))
}

async fn ready(cx: &Context) -> Result<Reply, error::Error> {
    let stopped = || error::Error::new(error::ErrorKind::Draining, "the process is stopping");
    let status = cx.dispatcher.status().await.ok_or_else(stopped)?;
    if status.is_draining {
        return Err(stopped());
    }
    if !status.is_current {
        let message = "the leader has not confirmed the documents within the lease";
        return Err(error::Error::new(error::ErrorKind::NotCurrent, message));
    }
    if !status.is_served {
        let message = "the entry holds no slots of at least one service that has executors";
        return Err(error::Error::new(error::ErrorKind::NoExecutor, message));
    }
    Ok(Reply::Json(serde_json::to_vec(&status).unwrap_or_default().into()))
}

async fn call_leader(cx: &Context, operation: protocol::Operation) -> Result<Reply, error::Error> {
    match cx.link.call(protocol::Call::Operate(operation), CALL_TIMEOUT).await? {
        protocol::Answer::Json(body) => Ok(Reply::Json(body)),
        _ => {
            let message = "the leader's answer has an unexpected type for the call";
            Err(error::Error::new(error::ErrorKind::Internal, message))
        }
    }
}
