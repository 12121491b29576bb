use std::path::Path;
use std::thread;
use std::time::Duration;

use super::{Fleet, Window};
use crate::error::BenchError;
use crate::figure::Figure;

const VOTERS: usize = 3;
const ENTRIES: usize = 8;
/// Number of executors, and of workers, that announce themselves. The last is today's size.
const UPSTREAMS: [usize; 3] = [0, 22, 65];
const SETTLE_TIME: Duration = Duration::from_secs(4);
const SPAN: Duration = Duration::from_secs(20);

/// Measures the processes' resource use while there are no requests and no jobs.
///
/// # Errors
///
/// The cluster did not start or the leader changed.
pub fn idle(binary: &Path, seed: u64) -> Result<Vec<Figure>, BenchError> {
    let mut figures = Vec::new();
    let cfg = Fleet::config(binary, VOTERS, ENTRIES).relayed();
    let mut fleet = Fleet::start(&cfg)?;
    let mut added = 0;
    for upstreams in UPSTREAMS {
        for number in added..upstreams {
            fleet.add_executor(number);
            fleet.add_worker(number);
        }
        added = upstreams;
        fleet.wait_for_upstreams()?;
        thread::sleep(SETTLE_TIME);
        let leader = fleet.wait_for_leader()?;
        let window = Window::begin(&fleet)?;
        thread::sleep(SPAN);
        let prefix = format!("idle.{upstreams}_executors_and_workers");
        figures.extend(window.end(&fleet, leader, &prefix, seed)?);
        if fleet.wait_for_leader()? != leader {
            return Err(BenchError::Unexpected("the leader changed while idle".to_owned()));
        }
    }
    Ok(figures)
}
