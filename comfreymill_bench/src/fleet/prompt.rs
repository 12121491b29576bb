use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use super::load::LoadResult;
use super::{Cost, Fleet, Load};
use crate::error::BenchError;
use crate::figure::Figure;

const VOTERS: usize = 3;
const ENTRIES: usize = 1;
const EXECUTORS: usize = 6;
const CONNECTIONS: usize = 16;
const SPAN: Duration = Duration::from_secs(5);

/// Measures prompt requests through one entry and directly to an executor, in the same run.
///
/// # Errors
///
/// The cluster did not start or answered no request.
pub fn prompt(binary: &Path, seed: u64) -> Result<Vec<Figure>, BenchError> {
    let mut fleet = Fleet::start(&Fleet::config(binary, VOTERS, ENTRIES))?;
    let executors: Vec<_> = (0..EXECUTORS).map(|number| fleet.add_executor(number)).collect();
    fleet.wait_for_upstreams()?;
    let entry = fleet.cluster.get_entry(0).callers;
    let load = |address: SocketAddr, rate: Option<f64>| Load {
        address,
        connections: CONNECTIONS,
        span: SPAN,
        rate,
        key: None,
    };
    fleet.wait("a request that is answered", || {
        let warm = Load { span: Duration::from_millis(200), ..load(entry, None) };
        warm.run().is_ok_and(|result| result.refused == 0)
    })?;
    let (max_rate, _, mut figures) = measure(&fleet, &load(entry, None), "most", seed)?;
    let half = Some(max_rate / 2.0);
    let (_, through, more) = measure(&fleet, &load(entry, half), "half", seed)?;
    figures.extend(more);
    let direct = load(executors[0], half).run()?;
    figures.extend(direct.latencies.figures("prompt.half.direct_latency", seed));
    for (name, share) in [("p50", 0.5), ("p99", 0.99)] {
        let added = through.latencies.quantile(share) - direct.latencies.quantile(share);
        figures.push(Figure::new(format!("prompt.half.added_{name}"), added, "ms", seed));
    }
    let keyed = Load { key: Some("search".to_owned()), ..load(entry, None) };
    figures.extend(measure(&fleet, &keyed, "keyed", seed)?.2);
    Ok(figures)
}

/// Runs a load through the entry, and returns the rate in requests per second, the callers'
/// results and the figures.
fn measure(
    fleet: &Fleet,
    load: &Load,
    name: &str,
    seed: u64,
) -> Result<(f64, LoadResult, Vec<Figure>), BenchError> {
    let before = Cost::of(&fleet.cluster.entries[0])?;
    let began = Instant::now();
    let result = load.run()?;
    let seconds = began.elapsed().as_secs_f64();
    let used = Cost::of(&fleet.cluster.entries[0])?.processor.saturating_sub(before.processor);
    let answered = result.latencies.count() as f64;
    let rate = answered / seconds;
    let each = used.as_secs_f64() * 1e6 / (answered + result.refused as f64);
    let mut figures = vec![
        Figure::new(format!("prompt.{name}.rate"), rate, "requests/s", seed),
        Figure::new(format!("prompt.{name}.refused"), result.refused as f64, "requests", seed),
        Figure::new(format!("prompt.{name}.entry_processor"), each, "us a request", seed),
    ];
    figures.extend(result.latencies.figures(&format!("prompt.{name}.latency"), seed));
    Ok((rate, result, figures))
}
