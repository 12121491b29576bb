//! Message heads (start line and headers): validation, decoding, body framing and encoding

mod decode;
mod encode;
mod error;
mod framing;
mod scan;

pub(crate) use decode::{decode_request, decode_response};
pub(crate) use encode::{OutgoingFraming, encode_request, encode_response};
pub use error::HeadError;
pub(crate) use framing::{Framing, check_host, request_framing, response_framing, wants_continue};
pub(crate) use scan::Scan;
