use bytes::Bytes;
use comfreymill_http::server;
use comfreymill_types::error;

use super::answers;
use crate::metering;

/// Serves the metrics and the status of a process that has no other listener for operators.
///
/// `status` returns JSON text.
///
/// # Errors
///
/// Fails if the answer cannot be sent to the caller.
pub async fn answer_observer<F>(
    req: server::Request<'_>,
    meter: &metering::Meter,
    status: F,
) -> Result<(), server::ServerError>
where
    F: AsyncFnOnce() -> Bytes,
{
    match req.uri().path() {
        "/metrics" => answers::answer_text(req, meter.render().into()).await,
        "/v1/status" => {
            let body = status().await;
            answers::answer_json(req, body).await
        }
        _ => {
            let message = "only /metrics and /v1/status are served here";
            let error = error::Error::new(error::ErrorKind::NotFound, message).field("path");
            answers::answer_error(req, &error).await
        }
    }
}
