use bytes::BytesMut;
use http::{request, response};
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder;

use super::HeadError;

/// Decodes the head of a request that [`super::Scan`] has validated.
pub(crate) fn decode_request(mut raw: BytesMut) -> Result<request::Parts, HeadError> {
    let has_version = is_http_version(third_word(start_line(&raw)));
    map_result(decoder::RequestHeadDecoder.decode(&mut raw), has_version)
}

/// Decodes the head of a response that [`super::Scan`] has validated.
pub(crate) fn decode_response(mut raw: BytesMut) -> Result<response::Parts, HeadError> {
    let has_version = is_http_version(first_word(start_line(&raw)));
    map_result(decoder::ResponseHeadDecoder.decode(&mut raw), has_version)
}

/// Maps the decoder's result to a [`HeadError`].
///
/// The parser reports any unknown text in place of the version as an unsupported version, so
/// [`HeadError::Version`] is returned only if `has_version` says that the text is one.
fn map_result<H>(
    res: Result<Decoded<H>, decoder::DecodeError>,
    has_version: bool,
) -> Result<H, HeadError> {
    match res {
        Ok(Decoded::Some(head)) => Ok(head),
        Err(decoder::DecodeError::Parse(httparse::Error::Version)) if has_version => {
            Err(HeadError::Version)
        }
        Err(decoder::DecodeError::Parse(httparse::Error::TooManyHeaders)) => {
            Err(HeadError::TooManyHeaders)
        }
        Ok(_) | Err(_) => Err(HeadError::Malformed),
    }
}

fn start_line(raw: &[u8]) -> &[u8] {
    raw.split(|&byte| byte == b'\r').next().unwrap_or_default()
}

fn first_word(line: &[u8]) -> &[u8] {
    line.split(|&byte| byte == b' ').next().unwrap_or_default()
}

/// Returns the third word of a line that has exactly three, or an empty slice.
fn third_word(line: &[u8]) -> &[u8] {
    let mut words = line.split(|&byte| byte == b' ');
    match (words.next(), words.next(), words.next(), words.next()) {
        (Some(_), Some(_), Some(version), None) => version,
        _ => &[],
    }
}

fn is_http_version(word: &[u8]) -> bool {
    let Some([major, b'.', minor]) = word.strip_prefix(b"HTTP/") else {
        return false;
    };
    major.is_ascii_digit() && minor.is_ascii_digit()
}
