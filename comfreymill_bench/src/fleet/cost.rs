use std::fs;
use std::time::Duration;

use crate::cluster::Process;
use crate::error::BenchError;
use crate::state::memory::resident_megabytes;

/// Length of the clock tick in which Linux states processor time.
const TICK: Duration = Duration::from_millis(10);
/// Fields after the name of the program, of which the first is the third of the file.
const USER_FIELD: usize = 11;
const SYSTEM_FIELD: usize = 12;

/// What a process has used so far.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cost {
    pub(super) processor: Duration,
    pub(super) resident_megabytes: f64,
}

impl Cost {
    pub(super) fn of(process: &Process) -> Result<Self, BenchError> {
        let gone = || BenchError::Unexpected("a process ended during the measurement".to_owned());
        let id = process.get_id().ok_or_else(gone)?.to_string();
        let text = fs::read_to_string(format!("/proc/{id}/stat"))?;
        let after_name = text.rsplit_once(") ").map_or("", |(_, rest)| rest);
        let fields: Vec<&str> = after_name.split(' ').collect();
        let ticks = |field: usize| fields.get(field).and_then(|it| it.parse::<u32>().ok());
        let (user, system) = (ticks(USER_FIELD), ticks(SYSTEM_FIELD));
        let (Some(user), Some(system)) = (user, system) else { return Err(gone()) };
        let processor = TICK * (user + system);
        Ok(Self { processor, resident_megabytes: resident_megabytes(&id)? })
    }
}
