use std::fs;
use std::time::Duration;

use bytes::Bytes;

use super::path_entry::{self, PathEntry};
use super::path_load::{PathLoad, PathResult};
use crate::figure::Figure;

const EXECUTORS: usize = 4;
const THREADS: u32 = 8;
const FULL_CONNECTIONS: u32 = 4;
const LENGTH: Duration = Duration::from_secs(4);
const WARM_UP: Duration = Duration::from_secs(1);
const ANSWER_BYTES: usize = 200;
const OPEN_CONNECTIONS: u32 = 1_000;
const DIRECT_PATH: &str = "/find";
const ENTRY_PATH: &str = "/v1/bench/search/find";

/// Measures the overhead of the path through an entry over a direct connection, on loopback.
pub fn measure_path_cost(seed: u64) -> Vec<Figure> {
    let answer = Bytes::from(vec![b'x'; ANSWER_BYTES]);
    let executors: Vec<_> =
        (0..EXECUTORS).map(|_| path_entry::start_executor(answer.clone())).collect();
    let entry = path_entry::start_entry(executors.clone());
    let load = |to, path, rate: Option<f64>, length| {
        let connections = if rate.is_some() { 1 } else { FULL_CONNECTIONS };
        PathLoad { to, path, threads: THREADS, connections, length, rate }.run()
    };
    load(entry.address, ENTRY_PATH, None, WARM_UP);
    let before = processor_seconds(&entry);
    let full = load(entry.address, ENTRY_PATH, None, LENGTH);
    let used = processor_seconds(&entry) - before;
    let rate = full.requests as f64 / full.seconds;
    let direct = load(executors[0], DIRECT_PATH, Some(rate / 2.0), LENGTH);
    let half = load(entry.address, ENTRY_PATH, Some(rate / 2.0), LENGTH);
    let figure = |what: &str, value: f64, unit: &str| {
        Figure::new(format!("prompt path: {what}"), value, unit, seed)
    };
    let micros = |result: &PathResult, percentile: f64| {
        result.latency.value_at_percentile(percentile) as f64
    };
    let added = |percentile| micros(&half, percentile) - micros(&direct, percentile);
    vec![
        figure("requests a second on one core", rate, "1/s"),
        figure("processor time a request", used * 1e6 / full.requests as f64, "us"),
        figure("direct at half load, p50", micros(&direct, 50.0), "us"),
        figure("direct at half load, p99", micros(&direct, 99.0), "us"),
        figure("through the entry at half load, p50", micros(&half, 50.0), "us"),
        figure("through the entry at half load, p99", micros(&half, 99.0), "us"),
        figure("added at half load, p50", added(50.0), "us"),
        figure("added at half load, p99", added(99.0), "us"),
        figure("failures", (full.failures + half.failures + direct.failures) as f64, ""),
        figure("memory of 1000 open connections", open_memory(&entry), "KiB"),
    ]
}

/// Returns the processor time that the entry's thread has used.
fn processor_seconds(entry: &PathEntry) -> f64 {
    let (reply, rx) = flume::bounded(1);
    entry.processor_time.send(reply).expect("the entry runs");
    rx.recv().expect("the entry answers")
}

/// Returns the growth of this process's resident memory, in KiB, while connections are open that
/// have served a request. Both ends of the connections count.
fn open_memory(entry: &PathEntry) -> f64 {
    let before = resident_kib();
    let connections = OPEN_CONNECTIONS;
    let length = Duration::from_secs(2);
    let rate = Some(f64::from(connections));
    let load =
        PathLoad { to: entry.address, path: ENTRY_PATH, threads: 1, connections, length, rate };
    let running = std::thread::spawn(move || load.run());
    std::thread::sleep(Duration::from_millis(1_800));
    let growth = resident_kib() - before;
    running.join().expect("the callers do not panic");
    growth
}

fn resident_kib() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0.0)
}
