use std::fs;
use std::io;
use std::time::Duration;

const BYTES_PER_KIB: u64 = 1_024;

/// Processor time and memory that a process has used so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Processor time of all current threads.
    pub processor: Duration,
    /// Resident memory in bytes.
    pub memory_bytes: u64,
}

impl Usage {
    /// Reads the usage of a running process.
    ///
    /// # Errors
    ///
    /// The process is not running, or the system does not report its usage.
    pub fn read(process: u32) -> io::Result<Self> {
        Ok(Self { processor: read_processor(process)?, memory_bytes: read_memory(process)? })
    }
}

fn read_processor(process: u32) -> io::Result<Duration> {
    let mut nanos = 0;
    for thread in fs::read_dir(format!("/proc/{process}/task"))? {
        let text = match fs::read_to_string(thread?.path().join("schedstat")) {
            Ok(text) => text,
            // The thread exited after it was listed.
            Err(error) if error.kind() == io::ErrorKind::NotFound => continue,
            Err(error) => return Err(error),
        };
        let field = text.split_whitespace().next().and_then(|field| field.parse::<u64>().ok());
        nanos += field.ok_or_else(|| missing("schedstat"))?;
    }
    Ok(Duration::from_nanos(nanos))
}

fn read_memory(process: u32) -> io::Result<u64> {
    let text = fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let field = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    Ok(field.ok_or_else(|| missing("VmRSS"))? * BYTES_PER_KIB)
}

/// Creates the error for a value that `/proc` does not contain.
fn missing(name: &str) -> io::Error {
    io::Error::new(
        io::ErrorKind::InvalidData,
        format!("the system does not report {name} of the process"),
    )
}
