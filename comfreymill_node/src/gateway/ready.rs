use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use comfreymill_http::server;
use comfreymill_platform as platform;
use http::StatusCode;

use crate::jobcall::Client;

/// State from which readiness probes are answered.
#[derive(Clone, Debug)]
pub(super) struct Readiness {
    /// Client for calls to the leader.
    pub(super) leader: Client,
    /// Whether the process is stopping.
    pub(super) is_draining: Rc<Cell<bool>>,
}

/// Answers one readiness probe.
///
/// # Errors
///
/// The response cannot be sent.
pub(super) async fn serve(
    readiness: &Readiness,
    req: server::Request<'_>,
) -> Result<(), server::ServerError> {
    let is_ready = !readiness.is_draining.get() && readiness.leader.is_connected();
    let status = match (platform::is_readiness_probe(req.uri().path()), is_ready) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    req.respond(status, &http::HeaderMap::new(), Bytes::new()).await
}

/// Returns the gateway's status as JSON text.
pub(super) fn status(leader: &Client) -> Bytes {
    serde_json::json!({ "leader_connected": leader.is_connected() }).to_string().into()
}
