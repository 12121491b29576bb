//! Encoding of commands and snapshots as CBOR, so that fields can be added later.

mod codec_error;
mod encoding;

pub use codec_error::CodecError;
pub use encoding::{decode, encode};
