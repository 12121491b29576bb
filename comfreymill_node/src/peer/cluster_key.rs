use std::fmt;
use std::fs;
use std::os::unix::fs::PermissionsExt as _;
use std::path::Path;

use bytes::Bytes;
use hmac::KeyInit as _;
use hmac::Mac as _;

use super::PeerError;

const OTHERS_MASK: u32 = 0o077;

/// Secret that all processes of a cluster share.
#[derive(Clone)]
pub struct ClusterKey(Bytes);

impl ClusterKey {
    /// Minimum length of a key that is read from a file, in bytes.
    pub const MIN_BYTES: usize = 32;

    /// Wraps the bytes of a key.
    pub fn new<B>(bytes: B) -> Self
    where
        B: Into<Bytes>,
    {
        Self(bytes.into())
    }

    /// Reads a key from a file, which must be accessible to its owner only.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is accessible to others, or the key is too short.
    pub fn read(path: &Path) -> Result<Self, PeerError> {
        let error = |reason: String| PeerError::KeyFile { path: path.to_owned(), reason };
        let metadata = fs::metadata(path).map_err(|e| error(e.to_string()))?;
        let mode = metadata.permissions().mode();
        if mode & OTHERS_MASK != 0 {
            return Err(error(format!(
                "mode {:o} lets others read it: set its mode to 600",
                mode & 0o777
            )));
        }
        let bytes = fs::read(path).map_err(|e| error(e.to_string()))?;
        let key = bytes.trim_ascii();
        if key.len() < Self::MIN_BYTES {
            return Err(error(format!(
                "the key has {} bytes, at least {} are required",
                key.len(),
                Self::MIN_BYTES
            )));
        }
        Ok(Self(Bytes::copy_from_slice(key)))
    }

    /// Returns the MAC over `parts`.
    pub(super) fn sign(&self, parts: &[&[u8]]) -> Vec<u8> {
        self.mac(parts).finalize().into_bytes().to_vec()
    }

    /// Whether `proof` is the MAC over `parts`.
    pub(super) fn verify(&self, parts: &[&[u8]], proof: &[u8]) -> bool {
        self.mac(parts).verify_slice(proof).is_ok()
    }

    fn mac(&self, parts: &[&[u8]]) -> hmac::Hmac<sha2::Sha256> {
        let mut mac = hmac::Hmac::<sha2::Sha256>::new_from_slice(&self.0)
            .expect("HMAC accepts keys of any length");
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey")
    }
}
