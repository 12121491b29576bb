use std::fmt;
use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use super::Usage;
use crate::cluster::{Cluster, ClusterConfig, Process};

const BYTES_PER_MB: f64 = 1e6;
const PERCENT: f64 = 100.0;
const WARM_UP: Duration = Duration::from_secs(5);

/// Resource use of one idle process.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessUsage {
    /// Program that the process runs: `control` or `entry`.
    pub program: &'static str,
    /// Processor time as a fraction of one core.
    pub core_share: f64,
    /// Resident memory at the end of the measurement, in bytes.
    pub memory_bytes: u64,
}

impl fmt::Display for ProcessUsage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let percent = self.core_share * PERCENT;
        let memory = self.memory_bytes as f64 / BYTES_PER_MB;
        write!(f, "{}: {percent:.2}% of a core, {memory:.1} MB resident", self.program)
    }
}

/// Measures the processes of an idle cluster of three voters and two entries for `span`.
///
/// # Errors
///
/// The cluster cannot be started, or a process ended during the measurement.
pub fn measure(binary: &Path, span: Duration) -> io::Result<Vec<ProcessUsage>> {
    let cluster = Cluster::start(&ClusterConfig::new(binary).controls(3).entries(2))?;
    thread::sleep(WARM_UP);
    let processes = || {
        let controls = cluster.controls.iter().map(|process| ("control", process));
        controls.chain(cluster.entries.iter().map(|process| ("entry", process)))
    };
    let began = Instant::now();
    let before = processes().map(|(_, process)| read(process)).collect::<io::Result<Vec<_>>>()?;
    thread::sleep(span);
    let span = began.elapsed();
    let usages = processes().zip(before).map(|((program, process), before)| {
        let after = read(process)?;
        let used = after.processor.saturating_sub(before.processor);
        let core_share = used.as_secs_f64() / span.as_secs_f64();
        Ok(ProcessUsage { program, core_share, memory_bytes: after.memory_bytes })
    });
    usages.collect()
}

fn read(process: &Process) -> io::Result<Usage> {
    let id = process.get_id().ok_or_else(|| io::Error::other("the process is not running"))?;
    Usage::read(id)
}
