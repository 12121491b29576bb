use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use super::{Fleet, SimulatedUpstreams, Window, failover};
use crate::error::BenchError;
use crate::figure::Figure;

const VOTERS: usize = 3;
const ENTRIES: usize = 8;
/// Numbers of executors and workers. The last two are both interpretations of the target size.
const SIZES: [(usize, usize); 4] = [(228, 228), (455, 455), (910, 910), (3_600, 910)];
const SETTLE_TIME: Duration = Duration::from_secs(8);
const SPAN: Duration = Duration::from_secs(10);
const RECOVERY_TIME: Duration = Duration::from_secs(8);

/// Measures the processes' resource use and the failover time at growing fleet sizes.
///
/// Executors and workers only announce themselves; nothing runs. For a size that the cluster
/// cannot sustain, the figures that could be measured are returned.
///
/// # Errors
///
/// The cluster did not start.
pub fn growth(binary: &Path, seed: u64) -> Result<Vec<Figure>, BenchError> {
    let mut figures = Vec::new();
    for (executors, workers) in SIZES {
        let cfg = Fleet::config(binary, VOTERS, ENTRIES).relayed();
        let mut fleet = Fleet::start(&cfg)?;
        let upstreams =
            SimulatedUpstreams::start(executors, workers, fleet.cluster.get_upstreams());
        thread::sleep(SETTLE_TIME);
        let prefix = format!("growth.{executors}_executors_{workers}_workers");
        figures.extend(measure_steady(&fleet, &upstreams, &prefix, seed)?);
        figures.extend(measure_failover(&mut fleet, &prefix, seed)?);
    }
    Ok(figures)
}

/// Measures resource use, reports and elections while no process fails.
fn measure_steady(
    fleet: &Fleet,
    upstreams: &SimulatedUpstreams,
    prefix: &str,
    seed: u64,
) -> Result<Vec<Figure>, BenchError> {
    let leader = fleet.wait_for_leader()?;
    let term = fleet.get_term(leader);
    let before = upstreams.get_counts();
    let window = Window::begin(fleet)?;
    let began = Instant::now();
    thread::sleep(SPAN);
    let seconds = began.elapsed().as_secs_f64();
    let after = upstreams.get_counts();
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

/// Kills the leader, and measures the failover time and the number of elections.
fn measure_failover(fleet: &mut Fleet, prefix: &str, seed: u64) -> Result<Vec<Figure>, BenchError> {
    let leader = fleet.wait_for_leader()?;
    let term = fleet.get_term(leader);
    let span = failover::kill_leader(fleet, 0)?;
    thread::sleep(RECOVERY_TIME);
    let next = fleet.wait_for_leader()?;
    let elections = (fleet.get_term(next) - term) as f64;
    Ok(vec![
        Figure::new(format!("{prefix}.failover"), span.as_secs_f64() * 1e3, "ms", seed),
        Figure::new(format!("{prefix}.elections_after_kill"), elections, "elections", seed),
    ])
}
