use bytes::Bytes;

/// A body can't be read.
#[derive(Clone, Debug, thiserror::Error)]
#[error("malformed body: {0}")]
pub(crate) struct MalformedError(#[from] postcard::Error);

/// Encodes the body of a frame.
pub(crate) fn encode<T>(value: &T) -> Bytes
where
    T: serde::Serialize,
{
    postcard::to_stdvec(value).expect("values of the protocol have known lengths").into()
}

/// Decodes the body of a frame.
///
/// # Errors
///
/// The body is malformed.
pub(crate) fn decode<'b, T>(body: &'b [u8]) -> Result<T, MalformedError>
where
    T: serde::Deserialize<'b>,
{
    Ok(postcard::from_bytes(body)?)
}
