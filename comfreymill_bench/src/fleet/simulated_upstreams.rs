use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use comfreymill_batch::event;
use comfreymill_http::{client, limits};
use comfreymill_node::protocol;
use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::size;

use super::fleet::name;
use crate::cluster::Cluster;

const PERIOD: Duration = Duration::from_secs(1);
const TIMEOUT: Duration = Duration::from_secs(5);
const MAX_BODY_BYTES: u64 = 1 << 20;
const WORKERS_PER_RACK: usize = 20;

/// Executors and workers that only announce themselves, once per second, all on one thread.
#[derive(Debug)]
pub(super) struct SimulatedUpstreams {
    accepted: Arc<AtomicU64>,
    refused: Arc<AtomicU64>,
    stop: Option<flume::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

#[derive(Clone)]
struct Shared {
    accepted: Arc<AtomicU64>,
    refused: Arc<AtomicU64>,
    stopped: flume::Receiver<()>,
    incarnation: id::Incarnation,
}

impl SimulatedUpstreams {
    /// Starts the given numbers of executors and workers, spread over `entries`.
    pub(super) fn start(executors: usize, workers: usize, entries: Vec<SocketAddr>) -> Self {
        let (accepted, refused) = (Arc::default(), Arc::default());
        let (stop, stopped) = flume::bounded::<()>(0);
        let shared = Shared {
            accepted: Arc::clone(&accepted),
            refused: Arc::clone(&refused),
            stopped,
            incarnation: comfreymill_node::runtime::incarnation(),
        };
        let run = move || {
            let served = comfreymill_node::runtime::block_on(async move {
                let count = entries.len();
                let tasks: Vec<_> = (0..count)
                    .map(|entry| {
                        let own = |all: usize| (entry..all).step_by(count).collect::<Vec<_>>();
                        let upstreams = (own(executors), own(workers));
                        monoio::spawn(announce(entries[entry], upstreams, shared.clone()))
                    })
                    .collect();
                for task in tasks {
                    task.await;
                }
            });
            served.expect("a runtime can be created");
        };
        let thread = thread::spawn(run);
        Self { accepted, refused, stop: Some(stop), thread: Some(thread) }
    }

    /// Returns the numbers of reports so far that were accepted and that were not.
    pub(super) fn get_counts(&self) -> (u64, u64) {
        (self.accepted.load(Ordering::Relaxed), self.refused.load(Ordering::Relaxed))
    }
}

impl Drop for SimulatedUpstreams {
    fn drop(&mut self) {
        self.stop = None;
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
    }
}

/// Sends the reports of some executors and workers to an entry, spread evenly over each period.
async fn announce(entry: SocketAddr, upstreams: (Vec<usize>, Vec<usize>), shared: Shared) {
    let (executors, workers) = upstreams;
    let mut sequence = 0;
    while !shared.stopped.is_disconnected() {
        let limits = limits::Limits::new();
        let Ok(mut conn) = client::Connection::connect(entry, limits, TIMEOUT).await else {
            monoio::time::sleep(PERIOD).await;
            continue;
        };
        while conn.is_reusable() && !shared.stopped.is_disconnected() {
            sequence += 1;
            let began = Instant::now();
            let total = (executors.len() + workers.len()).max(1) as u32;
            for (place, number) in (0_u32..).zip(&executors) {
                let report = executor(*number, shared.incarnation);
                send(&mut conn, "/v1/executors", &report, &shared).await;
                pace(began, place, total).await;
            }
            for (place, number) in (executors.len() as u32..).zip(&workers) {
                let report = worker(*number, shared.incarnation, sequence);
                send(&mut conn, "/v1/workers", &report, &shared).await;
                pace(began, place, total).await;
            }
            monoio::time::sleep(PERIOD.saturating_sub(began.elapsed())).await;
        }
    }
}

/// Waits until the report at position `place` of `total` is due.
async fn pace(began: Instant, place: u32, total: u32) {
    let due = PERIOD * place / total;
    let ahead = due.saturating_sub(began.elapsed());
    // Shorter waits are skipped, since the timer's resolution is one millisecond.
    if ahead > Duration::from_millis(2) {
        monoio::time::sleep(ahead).await;
    }
}

async fn send<T>(conn: &mut client::Connection, path: &'static str, report: &T, shared: &Shared)
where
    T: serde::Serialize,
{
    let (mut head, ()) = http::Request::new(()).into_parts();
    head.method = http::Method::POST;
    head.uri = http::Uri::from_static(path);
    let body = Bytes::from(serde_json::to_vec(report).unwrap_or_default());
    let is_accepted = match conn.send(&head, body).await {
        Ok(mut response) => {
            let is_read = response.collect(MAX_BODY_BYTES).await.is_ok();
            is_read && response.status().is_success()
        }
        Err(_) => false,
    };
    let count = if is_accepted { &shared.accepted } else { &shared.refused };
    count.fetch_add(1, Ordering::Relaxed);
}

fn executor(number: usize, incarnation: id::Incarnation) -> protocol::ExecutorAnnouncement {
    let (region, zone) = Cluster::get_zone(number);
    protocol::ExecutorAnnouncement {
        name: name(&format!("hull-register-{number:04}")),
        incarnation,
        environment: name("derwent-hull"),
        stage: document::Stage::Production,
        service: name("hull-register"),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16)),
        region: name(region),
        zone: name(zone),
        slots: 8,
        connections: 64,
        state: protocol::UpstreamState::Ready,
        worker: None,
        reserved: size::Resources::ZERO,
    }
}

fn worker(number: usize, incarnation: id::Incarnation, sequence: u64) -> protocol::WorkerHeartbeat {
    let (region, zone) = Cluster::get_zone(number);
    let report = event::Heartbeat {
        worker: name(&format!("worker-{number:04}")),
        incarnation,
        sequence,
        region: name(region),
        zone: name(zone),
        rack: name(&format!("rack-{}", number / WORKERS_PER_RACK)),
        capacity: size::Resources::new(32_000, 125_000_000_000, 2),
        executors: Vec::new(),
        attempts: Vec::new(),
        leaving: false,
        usage_age: Duration::from_secs(5),
    };
    protocol::WorkerHeartbeat { report, latencies: Vec::new() }
}
