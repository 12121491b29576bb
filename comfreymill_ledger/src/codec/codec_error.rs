/// Error for bytes that do not decode as the requested type.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the record cannot be decoded: {reason}")]
pub struct CodecError {
    pub(super) reason: String,
}
