/// Reason why the head of a message is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The start line or a header is malformed.
    #[error("the start line or a header is malformed")]
    Malformed,
    /// A line does not end in CR LF.
    #[error("a line of the head does not end in CR LF")]
    LineEnding,
    /// The head contains a NUL byte.
    #[error("a NUL byte stands in the head")]
    Nul,
    /// The connection ended before the end of the head.
    #[error("the connection ended within the head")]
    CutShort,
    /// The start line alone is longer than the size limit of the head.
    #[error("the start line is longer than the limit")]
    StartLineTooLong,
    /// The head is longer than its size limit.
    #[error("the head is longer than the limit")]
    TooLarge,
    /// The head has more headers than allowed.
    #[error("the head has more headers than the limit")]
    TooManyHeaders,
    /// The version is neither HTTP/1.0 nor HTTP/1.1.
    #[error("the version is neither HTTP/1.0 nor HTTP/1.1")]
    Version,
    /// `Host` is missing, repeated or malformed.
    #[error("Host is missing, doubled or malformed")]
    Host,
    /// `Content-Length` is invalid or repeated.
    #[error("Content-Length is invalid or doubled")]
    Length,
    /// `Content-Length` and `Transfer-Encoding` are both present.
    #[error("Content-Length and Transfer-Encoding stand together")]
    LengthAndTransferEncoding,
    /// `Transfer-Encoding` is present in an HTTP/1.0 message.
    #[error("Transfer-Encoding stands in a message of HTTP/1.0")]
    TransferEncodingVersion,
    /// The transfer coding is not exactly `chunked`.
    #[error("the transfer coding is not exactly chunked")]
    TransferCoding,
    /// `Expect` is not `100-continue`.
    #[error("the expectation is not 100-continue")]
    Expectation,
    /// The response has neither a length nor chunked coding, so a complete body cannot be
    /// distinguished from one that is cut short.
    #[error("the response has neither a length nor chunks")]
    Undelimited,
    /// The response switches protocols, although the request asked for no upgrade.
    #[error("the response switches protocols")]
    Upgrade,
    /// Too many interim (1xx) responses preceded the final one.
    #[error("too many interim responses came before the final one")]
    TooManyInterim,
}
