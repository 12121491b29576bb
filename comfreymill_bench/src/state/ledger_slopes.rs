use std::time::Instant;

use comfreymill_ledger::ledger;

use super::fill::{self, Costs};
use super::log::{Cost, Log};
use super::memory::resident_megabytes;
use super::{Size, grants, requests};
use crate::error::BenchError;
use crate::figure::Figure;

/// Divisors of the target size at which the state is measured.
const DIVISORS: [usize; 3] = [4, 2, 1];
const DOCUMENT_VERSIONS: u64 = 350;
const ENDED_JOBS: [usize; 3] = [5_000, 10_000, 20_000];
const GRANTED_EXECUTORS: [usize; 3] = [228, 910, 3_600];
const KEYED_REQUESTS: [usize; 3] = [20_000, 60_000, 200_000];
const ENTRIES: usize = 8;
const MB: f64 = 1e6;

/// Filled state of which the snapshot is measured later.
struct Filled {
    prefix: String,
    log: Log,
}

/// Measures the replicated state at fractions of the target size.
///
/// Memory is the growth of this process's resident memory while a state is filled. All states are
/// filled before the first is encoded, so that no state reuses memory freed by the encoding.
///
/// # Errors
///
/// The system does not report the memory of this process.
pub fn ledger_slopes(seed: u64) -> Result<Vec<Figure>, BenchError> {
    let mut figures = Vec::new();
    let mut all = Vec::new();
    for divisor in DIVISORS {
        all.push(measure_tasks(Size::TARGET.divided_by(divisor), seed, &mut figures)?);
    }
    for jobs in ENDED_JOBS {
        all.push(measure_ended_jobs(jobs, seed, &mut figures)?);
    }
    for executors in GRANTED_EXECUTORS {
        all.push(measure_grants(executors, seed, &mut figures)?);
    }
    for count in KEYED_REQUESTS {
        all.push(measure_requests(count, seed, &mut figures)?);
    }
    for filled in &all {
        snapshot(&filled.prefix, &filled.log.ledger, seed, &mut figures)?;
    }
    Ok(figures)
}

fn measure_tasks(size: Size, seed: u64, figures: &mut Vec<Figure>) -> Result<Filled, BenchError> {
    let prefix = format!("state.{}_tasks", size.tasks);
    let before = resident_megabytes("self")?;
    let (mut log, mut costs) = (Log::default(), Costs::default());
    for version in 1..=DOCUMENT_VERSIONS {
        fill::add_document(&mut log, size, version, &mut costs);
    }
    fill::add_jobs(&mut log, size, &mut costs);
    let memory = resident_megabytes("self")? - before;
    add(figures, format!("{prefix}.memory"), memory, "MB", seed);
    let kinds = [
        ("document", costs.document),
        ("job", costs.job),
        ("start", costs.start),
        ("checkpoint", costs.checkpoint),
    ];
    for (kind, cost) in kinds {
        add_cost(figures, &prefix, kind, cost, seed);
    }
    Ok(Filled { prefix, log })
}

fn measure_ended_jobs(
    jobs: usize,
    seed: u64,
    figures: &mut Vec<Figure>,
) -> Result<Filled, BenchError> {
    let prefix = format!("state.{jobs}_ended_jobs");
    let tasks = 2 * jobs;
    let size = Size { jobs, running: tasks, tasks, ..Size::TARGET };
    let before = resident_megabytes("self")?;
    let (mut log, mut costs) = (Log::default(), Costs::default());
    let running = fill::add_jobs(&mut log, size, &mut costs);
    fill::end_all(&mut log, &running, &mut costs);
    let memory = resident_megabytes("self")? - before;
    add(figures, format!("{prefix}.memory"), memory, "MB", seed);
    add_cost(figures, &prefix, "end", costs.end, seed);
    Ok(Filled { prefix, log })
}

fn measure_grants(
    executors: usize,
    seed: u64,
    figures: &mut Vec<Figure>,
) -> Result<Filled, BenchError> {
    let prefix = format!("state.{executors}_executors_by_{ENTRIES}_entries");
    let before = resident_megabytes("self")?;
    let (mut log, mut cost) = (Log::default(), Cost::default());
    grants::add_grants(&mut log, executors, ENTRIES, &mut cost);
    let memory = resident_megabytes("self")? - before;
    add(figures, format!("{prefix}.memory"), memory, "MB", seed);
    let each = cost.get_bytes() / ENTRIES as f64;
    add(figures, format!("{prefix}.record_each_grant"), each, "B", seed);
    Ok(Filled { prefix, log })
}

fn measure_requests(
    count: usize,
    seed: u64,
    figures: &mut Vec<Figure>,
) -> Result<Filled, BenchError> {
    let prefix = format!("state.{count}_keyed_requests");
    let before = resident_megabytes("self")?;
    let mut log = Log::default();
    let (mut open, mut close) = (Cost::default(), Cost::default());
    requests::add_requests(&mut log, count, &mut open, &mut close);
    let memory = resident_megabytes("self")? - before;
    add(figures, format!("{prefix}.memory"), memory, "MB", seed);
    add_cost(figures, &prefix, "open", open, seed);
    add_cost(figures, &prefix, "close", close, seed);
    Ok(Filled { prefix, log })
}

fn add_cost(figures: &mut Vec<Figure>, prefix: &str, kind: &str, cost: Cost, seed: u64) {
    add(figures, format!("{prefix}.apply_{kind}"), cost.get_micros(), "us", seed);
    add(figures, format!("{prefix}.record_{kind}"), cost.get_bytes(), "B", seed);
}

/// Measures the size, encoding and loading of a snapshot.
fn snapshot(
    prefix: &str,
    ledger: &ledger::Ledger,
    seed: u64,
    figures: &mut Vec<Figure>,
) -> Result<(), BenchError> {
    let began = Instant::now();
    let bytes = ledger.to_snapshot();
    let encoding = began.elapsed().as_secs_f64() * 1e3;
    let began = Instant::now();
    let loaded = ledger::Ledger::from_snapshot(&bytes);
    let loading = began.elapsed().as_secs_f64() * 1e3;
    if loaded.ok().as_ref() != Some(ledger) {
        return Err(BenchError::Unexpected(
            "the state loaded from a snapshot differs from the original".to_owned(),
        ));
    }
    add(figures, format!("{prefix}.snapshot"), bytes.len() as f64 / MB, "MB", seed);
    add(figures, format!("{prefix}.snapshot_encode"), encoding, "ms", seed);
    add(figures, format!("{prefix}.snapshot_load"), loading, "ms", seed);
    Ok(())
}

fn add(figures: &mut Vec<Figure>, name: String, value: f64, unit: &str, seed: u64) {
    figures.push(Figure::new(name, value, unit, seed));
}
