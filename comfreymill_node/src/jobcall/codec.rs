use bytes::Bytes;

/// The body of a frame cannot be decoded.
#[derive(Clone, Debug, thiserror::Error)]
#[error("malformed body: {0}")]
pub struct MalformedError(#[from] postcard::Error);

/// Encodes a value as the body of a frame.
pub fn encode<T>(value: &T) -> Bytes
where
    T: serde::Serialize,
{
    postcard::to_stdvec(value).expect("the length of every sequence is known").into()
}

/// Decodes a value from the body of a frame.
///
/// # Errors
///
/// The body is not an encoding of `T`.
pub fn decode<'b, T>(body: &'b [u8]) -> Result<T, MalformedError>
where
    T: serde::Deserialize<'b>,
{
    Ok(postcard::from_bytes(body)?)
}
