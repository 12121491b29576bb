use bytes::Bytes;
use http::header;

use crate::{body, head};

/// Header that carries the kind of an error.
pub const ERROR_HEADER: header::HeaderName = header::HeaderName::from_static("comfreymill-error");

const RETRY_AFTER_SECONDS: header::HeaderValue = header::HeaderValue::from_static("1");

/// Reason for which this crate itself answers a request.
///
/// No refused request was handed to a handler, but for the faults of a body and
/// [`Refusal::NoAnswer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The head is at fault.
    #[error(transparent)]
    Head(#[from] head::HeadError),
    /// The body is at fault.
    #[error(transparent)]
    Body(#[from] body::BodyError),
    /// The head did not arrive within the limit.
    #[error("the head did not arrive within the limit")]
    HeadTimeout,
    /// The listener has as many connections as its limit allows.
    #[error("the listener has as many connections as its limit allows")]
    ConnectionLimit,
    /// The listener has as many requests in progress as its limit allows.
    #[error("the listener has as many requests in progress as its limit allows")]
    RequestLimit,
    /// The handler ended without an answer.
    #[error("the handler ended without an answer")]
    NoAnswer,
}

impl Refusal {
    /// Kind, as the header and the body of the answer carry it.
    pub const fn kind(self) -> &'static str {
        self.entry().0
    }

    /// Status of the answer.
    pub const fn status(self) -> http::StatusCode {
        self.entry().1
    }

    /// Headers of the answer.
    pub(crate) fn headers(self) -> http::HeaderMap {
        let mut headers = http::HeaderMap::with_capacity(3);
        headers.insert(ERROR_HEADER, header::HeaderValue::from_static(self.kind()));
        headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
        if self.status() == http::StatusCode::SERVICE_UNAVAILABLE {
            headers.insert(header::RETRY_AFTER, RETRY_AFTER_SECONDS);
        }
        headers
    }

    /// JSON body of the answer.
    ///
    /// Kinds and messages are fixed texts without a character that JSON escapes.
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
            Self::NoAnswer => ("no_answer", http::StatusCode::INTERNAL_SERVER_ERROR),
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
