/// Bytes are not the encoding of the wanted type.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the record cannot be decoded: {reason}")]
pub struct CodecError {
    pub(super) reason: String,
}
