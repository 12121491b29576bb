use crate::message::{Body, DecodeError};
use bytes::Bytes;
use prost::Message as _;

/// Longest encoded message.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Message from one replica to another.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// Term of the sender.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Disk of the sender.
    #[prost(fixed64, tag = "2")]
    pub disk: u64,
    /// Disk of the receiver; another disk ignores the message. 0 if any may take it.
    #[prost(fixed64, tag = "16")]
    pub to_disk: u64,
    /// What is said.
    #[prost(oneof = "Body", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15")]
    pub body: Option<Body>,
}

impl Message {
    /// Encoded message.
    pub fn to_bytes(&self) -> Bytes {
        self.encode_to_vec().into()
    }

    /// Message encoded in `buf`.
    ///
    /// # Errors
    ///
    /// `buf` is longer than [`MAX_MESSAGE_BYTES`] or not a message.
    pub fn from_bytes(buf: Bytes) -> Result<Self, DecodeError> {
        if buf.len() > MAX_MESSAGE_BYTES {
            let bytes = buf.len();
            return Err(DecodeError::TooLong { bytes, limit_bytes: MAX_MESSAGE_BYTES });
        }
        Ok(Self::decode(buf)?)
    }
}
