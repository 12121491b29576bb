//! CPU time of the threads of each member.

use std::collections::BTreeMap;
use std::{fs, io};

/// Number of ticks per second in the CPU times of `/proc`.
pub(crate) const TICKS_PER_SECOND: f64 = 100.0;

const USER_TICKS_FIELD: usize = 11;

/// Returns the CPU time of each member's own thread and its store thread, in ticks, by voter id.
pub(crate) fn ticks_by_member() -> io::Result<BTreeMap<u64, u64>> {
    let mut ticks = BTreeMap::new();
    for task in fs::read_dir("/proc/self/task")? {
        let task = task?.path();
        let name = fs::read_to_string(task.join("comm")).unwrap_or_default();
        let voter = name.trim().strip_prefix("member-").or(name.trim().strip_prefix("store-"));
        let Some(voter) = voter.and_then(|id| id.parse::<u64>().ok()) else { continue };
        let stat = fs::read_to_string(task.join("stat")).unwrap_or_default();
        let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
        let times = fields.skip(USER_TICKS_FIELD).take(2);
        let spent: u64 = times.filter_map(|ticks| ticks.parse::<u64>().ok()).sum();
        *ticks.entry(voter).or_insert(0) += spent;
    }
    Ok(ticks)
}
