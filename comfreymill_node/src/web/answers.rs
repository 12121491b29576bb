use bytes::Bytes;
use comfreymill_http::server;
use comfreymill_types::error;
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};

use super::{ERROR_HEADER, ErrorBody, RUN_HEADER};

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const TEXT: HeaderValue = HeaderValue::from_static("text/plain; charset=utf-8");

/// Answers with an error: its status, headers and JSON body.
///
/// # Errors
///
/// Fails if the answer cannot be sent to the caller.
pub async fn answer_error(
    req: server::Request<'_>,
    error: &error::Error,
) -> Result<(), server::ServerError> {
    let answer = error.get_kind().get_properties();
    let mut headers = http::HeaderMap::new();
    headers.insert(CONTENT_TYPE, JSON);
    headers.insert(ERROR_HEADER, HeaderValue::from_static(error.get_kind().as_str()));
    headers.insert(RUN_HEADER, HeaderValue::from_static(answer.run.as_str()));
    if let Some(span) = error.get_retry_after() {
        // The header has whole seconds; the body is exact.
        headers.insert(RETRY_AFTER, HeaderValue::from(span.as_secs().max(1)));
    }
    let status = http::StatusCode::from_u16(answer.status)
        .unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    let body = serde_json::to_vec(&ErrorBody::from(error)).unwrap_or_default();
    req.respond(status, &headers, body.into()).await
}

/// Answers with JSON text.
///
/// # Errors
///
/// Fails if the answer cannot be sent to the caller.
pub async fn answer_json(req: server::Request<'_>, body: Bytes) -> Result<(), server::ServerError> {
    answer(req, JSON, body).await
}

/// Answers with plain text.
///
/// # Errors
///
/// Fails if the answer cannot be sent to the caller.
pub async fn answer_text(req: server::Request<'_>, body: Bytes) -> Result<(), server::ServerError> {
    answer(req, TEXT, body).await
}

async fn answer(
    req: server::Request<'_>,
    content_type: HeaderValue,
    body: Bytes,
) -> Result<(), server::ServerError> {
    let mut headers = http::HeaderMap::new();
    headers.insert(CONTENT_TYPE, content_type);
    req.respond(http::StatusCode::OK, &headers, body).await
}

/// Parses the value of a header as `T`; `None` if the header is absent.
///
/// # Errors
///
/// Fails with `bad-request`, which names the header, if the header is repeated or malformed.
pub fn header<T>(headers: &http::HeaderMap, name: &HeaderName) -> Result<Option<T>, error::Error>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let bad = |message: String| {
        error::Error::new(error::ErrorKind::BadRequest, message).field(name.as_str())
    };
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(bad("the header is given more than once".to_owned()));
    }
    let text =
        value.to_str().map_err(|_| bad("the header value is not visible ASCII".to_owned()))?;
    text.parse().map(Some).map_err(|error: T::Err| bad(error.to_string()))
}
