use std::fs;
use std::path::Path;

use bytes::Bytes;
use comfreymill_types::error;
use hmac::KeyInit as _;
use hmac::Mac as _;

const SCHEME: &[u8] = b"Bearer ";

/// Bearer token that a listener requires.
#[derive(Clone)]
pub struct Token(Bytes);

impl Token {
    /// Wraps a token.
    pub fn new<B>(token: B) -> Self
    where
        B: Into<Bytes>,
    {
        Self(token.into())
    }

    /// Reads a token from a file.
    ///
    /// # Errors
    ///
    /// Fails with `invalid-settings`, which names the file, if it is unreadable or empty.
    pub fn read(path: &Path) -> Result<Self, error::Error> {
        let error = |message: String| {
            error::Error::new(error::ErrorKind::InvalidSettings, message)
                .field(path.display().to_string())
        };
        let text =
            fs::read(path).map_err(|e| error(format!("the token file cannot be read: {e}")))?;
        let token = text.trim_ascii();
        if token.is_empty() {
            return Err(error("the token file is empty".to_owned()));
        }
        Ok(Self(Bytes::copy_from_slice(token)))
    }

    /// Checks the bearer token of a request.
    ///
    /// # Errors
    ///
    /// Fails with `unauthorized`, with the same message whether the token is missing or wrong.
    pub fn check(&self, headers: &http::HeaderMap) -> Result<(), error::Error> {
        let value = headers.get(http::header::AUTHORIZATION);
        let token = value.and_then(|value| value.as_bytes().strip_prefix(SCHEME));
        if token.is_some_and(|token| self.is_same(token)) {
            return Ok(());
        }
        let message = "the bearer token is missing or wrong";
        Err(error::Error::new(error::ErrorKind::Unauthorized, message))
    }

    /// Compares tokens in constant time by comparing their MACs, keyed with the expected token.
    fn is_same(&self, token: &[u8]) -> bool {
        let mac = || {
            hmac::Hmac::<sha2::Sha256>::new_from_slice(&self.0)
                .expect("HMAC accepts keys of any length")
        };
        let mut theirs = mac();
        theirs.update(token);
        let mut ours = mac();
        ours.update(&self.0);
        ours.verify(&theirs.finalize().into_bytes()).is_ok()
    }
}

impl std::fmt::Debug for Token {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Token")
    }
}
