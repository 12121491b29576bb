//! HTTP interface for operators: health, status and metrics of this replica.

use bytes::Bytes;
use comfreymill_http::server;
use comfreymill_types::error;

use super::core::Input;
use crate::metering;
use crate::web;

/// Shared state of the handlers of operators' requests.
pub(super) struct Context {
    pub(super) inputs: flume::Sender<Input>,
    pub(super) token: Option<web::Token>,
    pub(super) meter: metering::Meter,
}

/// Handles one request of an operator.
pub(super) async fn serve(
    cx: &Context,
    req: server::Request<'_>,
) -> Result<(), server::ServerError> {
    if let Some(text) = metrics(cx, &req) {
        return web::answer_text(req, text).await;
    }
    match handle(cx, &req).await {
        Ok(body) => web::answer_json(req, body).await,
        Err(error) => web::answer_error(req, &error).await,
    }
}

/// Returns the metrics if the request is for them and has a valid token.
fn metrics(cx: &Context, req: &server::Request<'_>) -> Option<Bytes> {
    let is_allowed = cx.token.as_ref().is_none_or(|token| token.check(req.headers()).is_ok());
    (req.uri().path() == "/metrics" && is_allowed).then(|| cx.meter.render().into())
}

async fn handle(cx: &Context, req: &server::Request<'_>) -> Result<Bytes, error::Error> {
    let path = req.uri().path();
    let is_public = matches!(path, "/healthz" | "/readyz");
    if let Some(token) = &cx.token
        && !is_public
    {
        token.check(req.headers())?;
    }
    match path {
        "/healthz" => Ok(Bytes::from_static(b"{\"healthy\":true}")),
        "/readyz" => {
            query_core(cx, Input::Ready).await??;
            Ok(Bytes::from_static(b"{\"ready\":true}"))
        }
        "/v1/status" => query_core(cx, Input::Status).await,

        _ => {
            let message = "a control process serves /v1/status, /metrics, /healthz and /readyz; \
                send other requests to an entry";
            Err(error::Error::new(error::ErrorKind::NotFound, message).field("path"))
        }
    }
}

async fn query_core<T, F>(cx: &Context, input: F) -> Result<T, error::Error>
where
    F: FnOnce(flume::Sender<T>) -> Input,
{
    let (reply, rx) = flume::bounded(1);
    cx.inputs.send(input(reply)).ok();
    rx.recv_async()
        .await
        .map_err(|_| error::Error::new(error::ErrorKind::Draining, "the process is stopping"))
}
