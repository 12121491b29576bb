/// Error returned when bytes can't be decoded as a message.
#[derive(Clone, Debug, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are longer than the maximum length of a message.
    #[error("message of {bytes} bytes is over the limit of {limit_bytes}")]
    TooLong {
        /// Length of the input.
        bytes: usize,
        /// Maximum length.
        limit_bytes: usize,
    },
    /// The bytes are not a valid encoding of a message.
    #[error("message can't be decoded: {0}")]
    Malformed(#[from] prost::DecodeError),
}
