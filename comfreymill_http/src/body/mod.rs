//! Message bodies: decoding, encoding and errors

mod chunked;
mod decoder;
mod encoder;
mod error;
mod reader;
mod source;

pub(crate) use decoder::{Decoder, Step};
pub(crate) use encoder::{LAST_CHUNK, encode_chunk};
pub use error::BodyError;
pub(crate) use reader::Reader;
pub use source::Source;
