use bytes::Bytes;

use super::CodecError;

/// Encodes a value as CBOR.
///
/// # Panics
///
/// Panics if the `Serialize` implementation of `T` fails. Derived implementations don't fail,
/// unless the type contains a custom one that does.
pub fn encode<T>(value: &T) -> Bytes
where
    T: serde::Serialize,
{
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).expect("writing to a vector cannot fail");
    buf.into()
}

/// Decodes a value from CBOR.
///
/// # Errors
///
/// Returns an error if the bytes are truncated or encode another type.
pub fn decode<T>(buf: &[u8]) -> Result<T, CodecError>
where
    T: serde::de::DeserializeOwned,
{
    ciborium::from_reader(buf).map_err(|error| CodecError { reason: error.to_string() })
}
