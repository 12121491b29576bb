use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use super::{Fleet, Sample};
use crate::error::BenchError;
use crate::figure::Figure;
use crate::standin::Call;

const VOTERS: usize = 3;
const ENTRIES: usize = 8;
const CHANGES: usize = 50;
const CHANGES_WITH_KILL: usize = 10;
const POLL: Duration = Duration::from_millis(2);
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
const LIMIT: Duration = Duration::from_secs(30);

/// Measures the time from the acceptance of a document until it is in force at every entry, both
/// without faults and with the leader killed right after the acceptance.
///
/// # Errors
///
/// A document was not accepted or did not come into force.
pub fn configuration(binary: &Path, seed: u64) -> Result<Vec<Figure>, BenchError> {
    let mut fleet = Fleet::start(&Fleet::config(binary, VOTERS, ENTRIES))?;
    fleet.wait_until_caught_up()?;
    let mut without_faults = Sample::default();
    for number in 0..CHANGES {
        without_faults.add(change(&mut fleet, number % ENTRIES, false)?);
    }
    let mut with_kills = Sample::default();
    for number in 0..CHANGES_WITH_KILL {
        with_kills.add(change(&mut fleet, number % ENTRIES, true)?);
    }
    let mut figures = without_faults.figures(&format!("configuration.{ENTRIES}_entries"), seed);
    let name = format!("configuration.{ENTRIES}_entries.leader_killed");
    figures.extend(with_kills.figures(&name, seed));
    Ok(figures)
}

/// Submits a document to an entry, and returns the time until it is in force at every entry.
fn change(fleet: &mut Fleet, entry: usize, is_leader_killed: bool) -> Result<Duration, BenchError> {
    let leader = fleet.wait_for_leader()?;
    let call = fleet.next_submission();
    let Some((200, body)) = fleet.operate(entry, call) else {
        return Err(BenchError::Unexpected("the entry did not accept a document".to_owned()));
    };
    let accepted_at = Instant::now();
    if is_leader_killed {
        fleet.cluster.controls[leader].kill();
    }
    let revision = body["revision"].as_u64().unwrap_or(u64::MAX);
    let addresses: Vec<_> =
        (0..ENTRIES).map(|entry| fleet.cluster.get_entry(entry).operators).collect();
    let spans = thread::scope(|scope| {
        let polls: Vec<_> = addresses
            .into_iter()
            .map(|address| scope.spawn(move || in_force_after(address, revision, accepted_at)))
            .collect();
        polls.into_iter().map(|poll| poll.join().unwrap_or(None)).collect::<Option<Vec<_>>>()
    });
    if is_leader_killed {
        fleet.cluster.controls[leader].start()?;
        fleet.wait_until_caught_up()?;
    }
    let last = spans.and_then(|spans| spans.into_iter().max());
    last.ok_or_else(|| BenchError::Timeout("a document in force at each entry".to_owned()))
}

/// Returns the time until the entry reports at least the documents of `revision`.
fn in_force_after(address: SocketAddr, revision: u64, since: Instant) -> Option<Duration> {
    while since.elapsed() < LIMIT {
        let answer = Call::get("/readyz").timeout(POLL_TIMEOUT).send_blocking(address);
        let answered = since.elapsed();
        let body = answer.ok().and_then(|answer| serde_json::from_slice(answer.body()).ok());
        let body: serde_json::Value = body.unwrap_or_default();
        if body["revision"].as_u64() >= Some(revision) {
            return Some(answered);
        }
        thread::sleep(POLL);
    }
    None
}
