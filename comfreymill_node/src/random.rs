use std::fmt::Write as _;
use std::fs;
use std::io;
use std::io::Read as _;

const SOURCE: &str = "/dev/urandom";

/// Returns `bytes` random bytes from the operating system, in hexadecimal.
///
/// # Errors
///
/// Fails if the random source cannot be read.
pub(crate) fn hex(bytes: usize) -> io::Result<String> {
    let mut data = vec![0; bytes];
    fs::File::open(SOURCE)?.read_exact(&mut data)?;
    let mut text = String::with_capacity(2 * bytes);
    for byte in data {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    Ok(text)
}
