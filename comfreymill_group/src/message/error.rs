/// Bytes are not a message.
#[derive(Clone, Debug, thiserror::Error)]
pub enum DecodeError {
    /// Longer than a message may be.
    #[error("message of {bytes} bytes is over the limit of {limit_bytes}")]
    TooLong {
        /// Length seen.
        bytes: usize,
        /// Length allowed.
        limit_bytes: usize,
    },
    /// Not the encoding of a message.
    #[error("message can't be decoded: {0}")]
    Malformed(#[from] prost::DecodeError),
}
