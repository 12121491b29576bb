use crate::message::{Body, DecodeError};
use bytes::Bytes;
use prost::Message as _;

/// Maximum length of an encoded message.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Message from one replica to another, with the sender's term and disk.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// Term of the sender.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Disk of the sender.
    #[prost(fixed64, tag = "2")]
    pub disk: u64,
    /// Disk of the receiver, which ignores the message if its own differs; 0 matches any disk.
    #[prost(fixed64, tag = "16")]
    pub to_disk: u64,
    /// Content of the message.
    #[prost(oneof = "Body", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15")]
    pub body: Option<Body>,
}

impl Message {
    /// Encodes the message.
    pub fn to_bytes(&self) -> Bytes {
        self.encode_to_vec().into()
    }

    /// Decodes a message from `buf`.
    ///
    /// # Errors
    ///
    /// Fails if `buf` is longer than [`MAX_MESSAGE_BYTES`] or is not a valid message.
    pub fn from_bytes(buf: Bytes) -> Result<Self, DecodeError> {
        if buf.len() > MAX_MESSAGE_BYTES {
            let bytes = buf.len();
            return Err(DecodeError::TooLong { bytes, limit_bytes: MAX_MESSAGE_BYTES });
        }
        Ok(Self::decode(buf)?)
    }
}
