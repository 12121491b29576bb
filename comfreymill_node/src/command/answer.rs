use bytes::Bytes;
use comfreymill_http::server;
use comfreymill_types::error;

/// Body of a node's error response.
#[derive(serde::Deserialize)]
struct ErrorBody {
    kind: error::ErrorKind,
    message: String,
    #[serde(default)]
    field: Option<String>,
}

/// Returns the body of a successful response, or the error of any other response.
pub(super) fn read(response: http::Response<Bytes>) -> Result<Bytes, error::Error> {
    if response.status().is_success() {
        return Ok(response.into_body());
    }
    if let Ok(body) = serde_json::from_slice::<ErrorBody>(response.body()) {
        let error = error::Error::new(body.kind, body.message);
        return Err(match body.field {
            Some(field) => error.field(field),
            None => error,
        });
    }
    let status = response.status();
    let header = response.headers().get(server::ERROR_HEADER);
    let kind = header.and_then(|value| value.to_str().ok()?.parse().ok());
    let kind = kind.unwrap_or(error::ErrorKind::Internal);
    Err(error::Error::new(kind, format!("the node answered with status {status}")))
}
