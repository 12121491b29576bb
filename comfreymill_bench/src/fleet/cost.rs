use std::fs;
use std::time::Duration;

use crate::cluster::Process;
use crate::error::BenchError;
use crate::state::memory::resident_megabytes;

/// Unit in which `/proc/PID/stat` reports processor time.
const TICK: Duration = Duration::from_millis(10);
/// Indexes of the user and system time among the fields after the program's name, which begin
/// with the third field of the file.
const USER_FIELD: usize = 11;
const SYSTEM_FIELD: usize = 12;

/// Processor time and memory that a process has used so far.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cost {
    pub(super) processor: Duration,
    pub(super) resident_megabytes: f64,
}

impl Cost {
    pub(super) fn of(process: &Process) -> Result<Self, BenchError> {
        let ended = || BenchError::Unexpected("a process ended during the measurement".to_owned());
        let id = process.get_id().ok_or_else(ended)?.to_string();
        let text = fs::read_to_string(format!("/proc/{id}/stat"))?;
        let after_name = text.rsplit_once(") ").map_or("", |(_, rest)| rest);
        let fields: Vec<&str> = after_name.split(' ').collect();
        let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<u32>().ok());
        let (user, system) = (ticks(USER_FIELD), ticks(SYSTEM_FIELD));
        let (Some(user), Some(system)) = (user, system) else { return Err(ended()) };
        let processor = TICK * (user + system);
        Ok(Self { processor, resident_megabytes: resident_megabytes(&id)? })
    }
}
