/// Fault of a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The start line or a header is malformed.
    #[error("the start line or a header is malformed")]
    Malformed,
    /// A line does not end in CR LF.
    #[error("a line of the head does not end in CR LF")]
    LineEnding,
    /// A NUL byte stands in the head.
    #[error("a NUL byte stands in the head")]
    Nul,
    /// The connection ended within the head.
    #[error("the connection ended within the head")]
    CutShort,
    /// The start line is longer than the limit of the head.
    #[error("the start line is longer than the limit")]
    StartLineTooLong,
    /// The head is longer than the limit.
    #[error("the head is longer than the limit")]
    TooLarge,
    /// The head has more headers than the limit.
    #[error("the head has more headers than the limit")]
    TooManyHeaders,
    /// The version is neither HTTP/1.0 nor HTTP/1.1.
    #[error("the version is neither HTTP/1.0 nor HTTP/1.1")]
    Version,
    /// `Host` is missing, doubled or malformed.
    #[error("Host is missing, doubled or malformed")]
    Host,
    /// `Content-Length` is invalid or doubled.
    #[error("Content-Length is invalid or doubled")]
    Length,
    /// `Content-Length` and `Transfer-Encoding` stand together.
    #[error("Content-Length and Transfer-Encoding stand together")]
    LengthAndTransferEncoding,
    /// `Transfer-Encoding` stands in a message of HTTP/1.0.
    #[error("Transfer-Encoding stands in a message of HTTP/1.0")]
    TransferEncodingVersion,
    /// The transfer coding is not exactly `chunked`.
    #[error("the transfer coding is not exactly chunked")]
    TransferCoding,
    /// The expectation is not `100-continue`.
    #[error("the expectation is not 100-continue")]
    Expectation,
    /// The response has neither a length nor chunks, so that its end cannot be told from a cut.
    #[error("the response has neither a length nor chunks")]
    Undelimited,
    /// The response switches protocols, which was not asked for.
    #[error("the response switches protocols")]
    Upgrade,
    /// Too many interim responses came before the final one.
    #[error("too many interim responses came before the final one")]
    TooManyInterim,
}
