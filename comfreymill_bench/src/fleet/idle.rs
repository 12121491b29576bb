use std::path::Path;
use std::thread;
use std::time::Duration;

use super::{Fleet, Window};
use crate::error::BenchError;
use crate::figure::Figure;

const VOTERS: usize = 3;
const ENTRIES: usize = 8;
/// Executors, and as many workers, that announce themselves; the last is today's size.
const UPSTREAMS: [usize; 3] = [0, 22, 65];
const SETTLING: Duration = Duration::from_secs(4);
const SPAN: Duration = Duration::from_secs(20);

/// Measures what processes cost while nobody asks for anything.
///
/// # Errors
///
/// The cluster did not start or the leader changed.
pub fn idle(binary: &Path, seed: u64) -> Result<Vec<Figure>, BenchError> {
    let mut figures = Vec::new();
    let cfg = Fleet::config(binary, VOTERS, ENTRIES).relayed();
    let mut fleet = Fleet::start(&cfg)?;
    let mut present = 0;
    for upstreams in UPSTREAMS {
        for number in present..upstreams {
            fleet.add_executor(number);
            fleet.add_worker(number);
        }
        present = upstreams;
        fleet.wait_for_upstreams()?;
        thread::sleep(SETTLING);
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
