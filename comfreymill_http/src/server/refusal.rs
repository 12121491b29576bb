use bytes::Bytes;
use http::header;

use crate::{body, head};

/// Response header with the kind of an error.
pub const ERROR_HEADER: header::HeaderName = header::HeaderName::from_static("comfreymill-error");

const RETRY_AFTER_SECONDS: header::HeaderValue = header::HeaderValue::from_static("1");

/// Error response that this crate sends instead of a handler.
///
/// A refused request was not passed to a handler, except with [`Refusal::Body`] and
/// [`Refusal::NoResponse`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The head is invalid or exceeds a limit.
    #[error(transparent)]
    Head(#[from] head::HeadError),
    /// The body is invalid, exceeds a limit or was cut short.
    #[error(transparent)]
    Body(#[from] body::BodyError),
    /// The head did not arrive within its timeout.
    #[error("the head did not arrive within the limit")]
    HeadTimeout,
    /// The listener has reached its connection limit.
    #[error("the listener has as many connections as its limit allows")]
    ConnectionLimit,
    /// The listener has reached its limit of requests in progress.
    #[error("the listener has as many requests in progress as its limit allows")]
    RequestLimit,
    /// The handler returned without sending a response.
    #[error("the handler ended without an answer")]
    NoResponse,
}

impl Refusal {
    /// Returns the kind, which is sent in the header and the body of the response.
    pub const fn kind(self) -> &'static str {
        self.entry().0
    }

    /// Returns the status of the response.
    pub const fn status(self) -> http::StatusCode {
        self.entry().1
    }

    /// Returns the headers of the response.
    pub(crate) fn headers(self) -> http::HeaderMap {
        let mut headers = http::HeaderMap::with_capacity(3);
        headers.insert(ERROR_HEADER, header::HeaderValue::from_static(self.kind()));
        headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
        if self.status() == http::StatusCode::SERVICE_UNAVAILABLE {
            headers.insert(header::RETRY_AFTER, RETRY_AFTER_SECONDS);
        }
        headers
    }

    /// Returns the JSON body of the response.
    ///
    /// Kinds and messages are fixed texts without characters that JSON must escape.
    pub(crate) fn body(self) -> Bytes {
        let kind = self.kind();
        Bytes::from(format!("{{\"kind\":\"{kind}\",\"message\":\"{self}\"}}"))
    }

    const fn entry(self) -> (&'static str, http::StatusCode) {
        match self {
            Self::Head(err) => head_entry(err),
            Self::Body(err) => body_entry(err),
            Self::HeadTimeout => ("head_timeout", http::StatusCode::REQUEST_TIMEOUT),
            Self::ConnectionLimit => ("connection_limit", http::StatusCode::SERVICE_UNAVAILABLE),
            Self::RequestLimit => ("request_limit", http::StatusCode::SERVICE_UNAVAILABLE),
            Self::NoResponse => ("no_answer", http::StatusCode::INTERNAL_SERVER_ERROR),
        }
    }
}

const fn head_entry(err: head::HeadError) -> (&'static str, http::StatusCode) {
    use head::HeadError;
    match err {
        HeadError::Malformed => ("malformed_head", http::StatusCode::BAD_REQUEST),
        HeadError::LineEnding => ("bad_line_ending", http::StatusCode::BAD_REQUEST),
        HeadError::Nul => ("nul_in_head", http::StatusCode::BAD_REQUEST),
        HeadError::CutShort => ("head_cut_short", http::StatusCode::BAD_REQUEST),
        HeadError::StartLineTooLong => ("uri_too_long", http::StatusCode::URI_TOO_LONG),
        HeadError::TooLarge => {
            ("head_too_large", http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE)
        }
        HeadError::TooManyHeaders => {
            ("too_many_headers", http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE)
        }
        HeadError::Version => ("bad_version", http::StatusCode::HTTP_VERSION_NOT_SUPPORTED),
        HeadError::Host => ("bad_host", http::StatusCode::BAD_REQUEST),
        HeadError::Length => ("bad_length", http::StatusCode::BAD_REQUEST),
        HeadError::LengthAndTransferEncoding => {
            ("length_and_transfer_encoding", http::StatusCode::BAD_REQUEST)
        }
        HeadError::TransferEncodingVersion => {
            ("transfer_encoding_version", http::StatusCode::BAD_REQUEST)
        }
        HeadError::TransferCoding => ("bad_transfer_coding", http::StatusCode::NOT_IMPLEMENTED),
        HeadError::Expectation => ("bad_expectation", http::StatusCode::EXPECTATION_FAILED),
        HeadError::Undelimited | HeadError::Upgrade | HeadError::TooManyInterim => {
            ("bad_response", http::StatusCode::BAD_GATEWAY)
        }
    }
}

const fn body_entry(err: body::BodyError) -> (&'static str, http::StatusCode) {
    use body::BodyError;
    match err {
        BodyError::BadChunk => ("bad_chunk", http::StatusCode::BAD_REQUEST),
        BodyError::BadTrailer => ("bad_trailer", http::StatusCode::BAD_REQUEST),
        BodyError::TooLarge => ("body_too_large", http::StatusCode::PAYLOAD_TOO_LARGE),
        BodyError::MemoryLimit => ("body_memory_limit", http::StatusCode::SERVICE_UNAVAILABLE),
        BodyError::CutShort | BodyError::Io(_) => ("body_cut_short", http::StatusCode::BAD_REQUEST),
        BodyError::TimedOut => ("body_timeout", http::StatusCode::REQUEST_TIMEOUT),
        BodyError::WrongLength => ("wrong_length", http::StatusCode::BAD_REQUEST),
    }
}
