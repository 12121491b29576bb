use http::{header, request, response};

use super::HeadError;

/// Longest accepted `Content-Length` value; any 19 digits fit in a `u64`.
const MAX_LENGTH_DIGITS: usize = 19;

/// How the body of a received message is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// No body.
    Empty,
    /// A body of this many bytes.
    Length(u64),
    /// A body in chunked transfer coding.
    Chunked,
}

/// Returns the framing of a request's body.
///
/// # Errors
///
/// A [`HeadError`] when the framing headers contradict each other or are invalid.
pub(crate) fn request_framing(head: &request::Parts) -> Result<Framing, HeadError> {
    Ok(framing_from_headers(&head.headers, head.version)?.unwrap_or(Framing::Empty))
}

/// Returns the framing of the body of a response to a request with this method.
///
/// # Errors
///
/// A [`HeadError`] when the framing headers contradict each other, are invalid, or are missing, so
/// that only the end of the connection would end the body.
pub(crate) fn response_framing(
    head: &response::Parts,
    method: &http::Method,
) -> Result<Framing, HeadError> {
    let framing = framing_from_headers(&head.headers, head.version)?;
    let has_no_body = method == http::Method::HEAD
        || head.status == http::StatusCode::NO_CONTENT
        || head.status == http::StatusCode::NOT_MODIFIED;
    if has_no_body {
        return Ok(Framing::Empty);
    }
    framing.ok_or(HeadError::Undelimited)
}

/// Checks that an HTTP/1.1 request has exactly one `Host` and an HTTP/1.0 request at most one.
///
/// # Errors
///
/// [`HeadError::Host`] when it is missing, repeated or malformed.
pub(crate) fn check_host(head: &request::Parts) -> Result<(), HeadError> {
    let mut hosts = head.headers.get_all(header::HOST).iter();
    let first = hosts.next();
    if hosts.next().is_some() {
        return Err(HeadError::Host);
    }
    match first {
        Some(host) if is_host(host.as_bytes()) => Ok(()),
        None if head.version == http::Version::HTTP_10 => Ok(()),
        _ => Err(HeadError::Host),
    }
}

/// Returns whether the sender waits for `100 Continue` before it sends its body.
///
/// # Errors
///
/// [`HeadError::Expectation`] for any other expectation.
pub(crate) fn wants_continue(head: &request::Parts) -> Result<bool, HeadError> {
    let mut is_wanted = false;
    for value in head.headers.get_all(header::EXPECT) {
        if !value.as_bytes().eq_ignore_ascii_case(b"100-continue") {
            return Err(HeadError::Expectation);
        }
        is_wanted = true;
    }
    Ok(is_wanted && head.version == http::Version::HTTP_11)
}

fn framing_from_headers(
    headers: &http::HeaderMap,
    version: http::Version,
) -> Result<Option<Framing>, HeadError> {
    let has_length = headers.contains_key(header::CONTENT_LENGTH);
    let has_coding = headers.contains_key(header::TRANSFER_ENCODING);
    match (has_length, has_coding) {
        (true, true) => Err(HeadError::LengthAndTransferEncoding),
        (true, false) => content_length(headers).map(Some),
        (false, true) => transfer_coding(headers, version).map(Some),
        (false, false) => Ok(None),
    }
}

fn content_length(headers: &http::HeaderMap) -> Result<Framing, HeadError> {
    let mut values = headers.get_all(header::CONTENT_LENGTH).iter();
    let (Some(value), None) = (values.next(), values.next()) else {
        return Err(HeadError::Length);
    };
    let digits = value.as_bytes();
    let is_number = !digits.is_empty()
        && digits.len() <= MAX_LENGTH_DIGITS
        && digits.iter().all(u8::is_ascii_digit);
    if !is_number {
        return Err(HeadError::Length);
    }
    let text = value.to_str().map_err(|_| HeadError::Length)?;
    let length = text.parse().map_err(|_| HeadError::Length)?;
    Ok(Framing::Length(length))
}

fn transfer_coding(
    headers: &http::HeaderMap,
    version: http::Version,
) -> Result<Framing, HeadError> {
    if version != http::Version::HTTP_11 {
        return Err(HeadError::TransferEncodingVersion);
    }
    let mut values = headers.get_all(header::TRANSFER_ENCODING).iter();
    let (Some(value), None) = (values.next(), values.next()) else {
        return Err(HeadError::TransferCoding);
    };
    if !value.as_bytes().eq_ignore_ascii_case(b"chunked") {
        return Err(HeadError::TransferCoding);
    }
    Ok(Framing::Chunked)
}

fn is_host(host: &[u8]) -> bool {
    host.iter().all(|&byte| byte.is_ascii_graphic() && !b",/?#@\\\"<>^`{|}".contains(&byte))
}
