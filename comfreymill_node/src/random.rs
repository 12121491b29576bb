use std::fmt::Write as _;
use std::fs;
use std::io;
use std::io::Read as _;

const SOURCE: &str = "/dev/urandom";

/// Random bytes of the system, in hexadecimal.
///
/// # Errors
///
/// The source cannot be read.
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
