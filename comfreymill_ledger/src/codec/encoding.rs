use bytes::Bytes;

use super::CodecError;

/// Encodes a value as CBOR.
///
/// # Panics
///
/// Never for types that derive serde and hold no failing implementation.
pub fn encode<T>(value: &T) -> Bytes
where
    T: serde::Serialize,
{
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).expect("a vector takes every write");
    buf.into()
}

/// Decodes a value from CBOR.
///
/// # Errors
///
/// The bytes are cut short or of another type.
pub fn decode<T>(buf: &[u8]) -> Result<T, CodecError>
where
    T: serde::de::DeserializeOwned,
{
    ciborium::from_reader(buf).map_err(|error| CodecError { reason: error.to_string() })
}
