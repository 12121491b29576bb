//! Encoding of commands and snapshots as CBOR. CBOR writes field names, so fields can be added
//! later.

mod codec_error;
mod encoding;

pub use codec_error::CodecError;
pub use encoding::{decode, encode};
