use std::fs;
use std::io;

const KB: f64 = 1_024.0;
const MB: f64 = 1e6;

/// Returns the resident memory of a process, given by id or as `self`, in megabytes.
///
/// # Errors
///
/// The process does not exist, or the system does not report its resident memory.
pub(crate) fn resident_megabytes(process: &str) -> io::Result<f64> {
    let text = fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    let number = number.ok_or_else(|| {
        io::Error::other("the system does not report the resident memory of the process")
    })?;
    Ok(number * KB / MB)
}
