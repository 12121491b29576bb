use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use super::{Fleet, Sample};
use crate::error::BenchError;
use crate::figure::Figure;

/// Voters and the number of times that their leader is killed.
const RUNS: [(usize, usize); 2] = [(3, 30), (5, 10)];
const ENTRIES: usize = 3;
const TRY_TIMEOUT: Duration = Duration::from_millis(300);
const TRY_PAUSE: Duration = Duration::from_millis(2);
const SETTLING: Duration = Duration::from_millis(300);

/// Measures the time from the death of a leader to the next document that an entry accepts.
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

/// Kills the leader and starts it again once a write was accepted; gives the time until then.
pub(super) fn kill_leader(fleet: &mut Fleet, entry: usize) -> Result<Duration, BenchError> {
    thread::sleep(SETTLING);
    let leader = fleet.wait_for_leader()?;
    let call = fleet.next_submission().timeout(TRY_TIMEOUT);
    let began = Instant::now();
    fleet.cluster.controls[leader].kill();
    while !matches!(fleet.operate(entry, call.clone()), Some((200, _))) {
        if began.elapsed() > Duration::from_secs(30) {
            return Err(BenchError::Timeout("a write after the leader's death".to_owned()));
        }
        thread::sleep(TRY_PAUSE);
    }
    let span = began.elapsed();
    fleet.cluster.controls[leader].start()?;
    Ok(span)
}
