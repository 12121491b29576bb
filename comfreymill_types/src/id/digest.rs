use std::fmt;
use std::str;

use sha2::Digest as _;

use super::ParseIdError;

const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of a document or a request, formatted in hexadecimal.
#[derive(
    Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Computes the digest of `data`.
    pub fn of(data: &[u8]) -> Self {
        Self(sha2::Sha256::digest(data).into())
    }

    /// Creates a digest from its raw bytes, or returns `None` unless there are exactly 32.
    pub fn from_slice(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Returns the raw bytes of the digest.
    pub const fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl str::FromStr for Digest {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let error = || ParseIdError::new("digest", text, "write 64 hexadecimal digits");
        let is_hex = text.len() == 2 * DIGEST_BYTES && text.bytes().all(|b| b.is_ascii_hexdigit());
        if !is_hex {
            return Err(error());
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (i, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|_| error())?;
        }
        Ok(Self(bytes))
    }
}

text_conversions!(Digest);
