use std::time::Duration;

use bytes::Bytes;
use comfreymill_http::server;
use comfreymill_types::error;

use super::Context;
use crate::metering::observe;
use crate::protocol;
use crate::web;

const MAX_BODY_BYTES: u64 = 1 << 20;
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const EXECUTORS_PATH: &str = "/v1/executors";
const WORKERS_PATH: &str = "/v1/workers";

/// Serves one request of an upstream.
///
/// # Errors
///
/// The answer could not be written to the connection.
pub async fn serve(cx: &Context, mut req: server::Request<'_>) -> Result<(), server::ServerError> {
    if let Some(error) = refusal(cx, &req) {
        observe::refusal("upstreams", error.get_kind());
        return web::answer_error(req, &error).await;
    }
    // The HTTP server itself answers a request whose body cannot be read.
    let Ok(body) = req.collect(MAX_BODY_BYTES).await else { return Ok(()) };
    match call(cx, req.uri().path(), &body).await {
        Ok(body) => web::answer_json(req, body).await,
        Err(error) => {
            observe::refusal("upstreams", error.get_kind());
            web::answer_error(req, &error).await
        }
    }
}

fn refusal(cx: &Context, req: &server::Request<'_>) -> Option<error::Error> {
    if let Some(token) = &cx.token
        && let Err(error) = token.check(req.headers())
    {
        return Some(error);
    }
    (req.method() != http::Method::POST).then(|| {
        error::Error::new(error::ErrorKind::MethodNotAllowed, "upstreams must use the method POST")
    })
}

async fn call(cx: &Context, path: &str, body: &[u8]) -> Result<Bytes, error::Error> {
    let call = match path {
        EXECUTORS_PATH => protocol::Call::Announce(parse(body)?),
        WORKERS_PATH => protocol::Call::WorkerHeartbeat(Box::new(parse(body)?)),
        _ => {
            let message = format!("no such path; use {EXECUTORS_PATH} or {WORKERS_PATH}");
            return Err(error::Error::new(error::ErrorKind::NotFound, message).field("path"));
        }
    };
    match cx.link.call(call, CALL_TIMEOUT).await? {
        protocol::Answer::Directives(directives) => Ok(to_json(&directives)),
        _ => Ok(Bytes::from_static(b"{\"accepted\":true}")),
    }
}

fn parse<T>(body: &[u8]) -> Result<T, error::Error>
where
    T: serde::de::DeserializeOwned,
{
    let bad = |error: serde_json::Error| {
        error::Error::new(error::ErrorKind::BadRequest, error.to_string()).field("body")
    };
    serde_json::from_slice(body).map_err(bad)
}

fn to_json<T>(value: &T) -> Bytes
where
    T: serde::Serialize,
{
    serde_json::to_vec(value).unwrap_or_default().into()
}
