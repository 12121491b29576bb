use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use super::{Fleet, Sample};
use crate::error::BenchError;
use crate::figure::Figure;

/// Number of voters, and number of times that their leader is killed.
const RUNS: [(usize, usize); 2] = [(3, 30), (5, 10)];
const ENTRIES: usize = 3;
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(300);
const RETRY_DELAY: Duration = Duration::from_millis(2);
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Measures the time from the kill of a leader to the next document that an entry accepts.
///
/// # Errors
///
/// The cluster did not recover.
pub fn failover(binary: &Path, seed: u64) -> Result<Vec<Figure>, BenchError> {
    let mut figures = Vec::new();
    for (voters, kills) in RUNS {
        let mut fleet = Fleet::start(&Fleet::config(binary, voters, ENTRIES))?;
        let mut sample = Sample::default();
        for number in 0..kills {
            fleet.wait_until_caught_up()?;
            sample.add(kill_leader(&mut fleet, number % ENTRIES)?);
        }
        figures.extend(sample.figures(&format!("failover.{voters}_voters"), seed));
    }
    Ok(figures)
}

/// Kills the leader, restarts it once a write is accepted, and returns the time until that write.
pub(super) fn kill_leader(fleet: &mut Fleet, entry: usize) -> Result<Duration, BenchError> {
    thread::sleep(SETTLE_TIME);
    let leader = fleet.wait_for_leader()?;
    let call = fleet.next_submission().timeout(ATTEMPT_TIMEOUT);
    let began = Instant::now();
    fleet.cluster.controls[leader].kill();
    while !matches!(fleet.operate(entry, call.clone()), Some((200, _))) {
        if began.elapsed() > Duration::from_secs(30) {
            return Err(BenchError::Timeout("a write after the leader was killed".to_owned()));
        }
        thread::sleep(RETRY_DELAY);
    }
    let span = began.elapsed();
    fleet.cluster.controls[leader].start()?;
    Ok(span)
}
