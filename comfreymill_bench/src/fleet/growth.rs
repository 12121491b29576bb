use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use super::{Fleet, Swarm, Window, failover};
use crate::error::BenchError;
use crate::figure::Figure;

const VOTERS: usize = 3;
const ENTRIES: usize = 8;
/// Executors and workers; the last two are readings of the size that is aimed at.
const SIZES: [(usize, usize); 4] = [(228, 228), (455, 455), (910, 910), (3_600, 910)];
const SETTLING: Duration = Duration::from_secs(8);
const SPAN: Duration = Duration::from_secs(10);
const RECOVERY: Duration = Duration::from_secs(8);

/// Measures what processes cost as the fleet grows, and how it takes the death of a leader.
///
/// Executors and workers only announce themselves; nothing runs. A size that the cluster does
/// not bear gives the figures that could be had.
///
/// # Errors
///
/// The cluster did not start.
pub fn growth(binary: &Path, seed: u64) -> Result<Vec<Figure>, BenchError> {
    let mut figures = Vec::new();
    for (executors, workers) in SIZES {
        let cfg = Fleet::config(binary, VOTERS, ENTRIES).relayed();
        let mut fleet = Fleet::start(&cfg)?;
        let swarm = Swarm::start(executors, workers, fleet.cluster.get_upstreams());
        thread::sleep(SETTLING);
        let prefix = format!("growth.{executors}_executors_{workers}_workers");
        figures.extend(calm(&fleet, &swarm, &prefix, seed)?);
        figures.extend(kill(&mut fleet, &prefix, seed)?);
    }
    Ok(figures)
}

fn calm(fleet: &Fleet, swarm: &Swarm, prefix: &str, seed: u64) -> Result<Vec<Figure>, BenchError> {
    let leader = fleet.wait_for_leader()?;
    let term = fleet.get_term(leader);
    let before = swarm.get_counts();
    let window = Window::begin(fleet)?;
    let began = Instant::now();
    thread::sleep(SPAN);
    let seconds = began.elapsed().as_secs_f64();
    let after = swarm.get_counts();
    let mut figures = window.end(fleet, leader, prefix, seed)?;
    let mut add = |name: &str, value: f64, unit: &str| {
        figures.push(Figure::new(format!("{prefix}.{name}"), value, unit, seed));
    };
    add("reports_accepted", (after.0 - before.0) as f64 / seconds, "reports/s");
    add("reports_refused", (after.1 - before.1) as f64 / seconds, "reports/s");
    let last = fleet.wait_for_leader()?;
    add("elections_in_calm", (fleet.get_term(last) - term) as f64, "elections");
    Ok(figures)
}

fn kill(fleet: &mut Fleet, prefix: &str, seed: u64) -> Result<Vec<Figure>, BenchError> {
    let leader = fleet.wait_for_leader()?;
    let term = fleet.get_term(leader);
    let span = failover::kill_leader(fleet, 0)?;
    thread::sleep(RECOVERY);
    let next = fleet.wait_for_leader()?;
    let elections = (fleet.get_term(next) - term) as f64;
    Ok(vec![
        Figure::new(format!("{prefix}.failover"), span.as_secs_f64() * 1e3, "ms", seed),
        Figure::new(format!("{prefix}.elections_after_kill"), elections, "elections", seed),
    ])
}
