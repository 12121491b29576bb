use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use comfreymill_http::client;
use comfreymill_http::limits;
use comfreymill_node::runtime;
use hdrhistogram::Histogram;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_MICROS: u64 = 60_000_000;

/// Load of callers on persistent connections.
#[derive(Clone, Copy, Debug)]
pub(super) struct PathLoad {
    pub(super) to: SocketAddr,
    pub(super) path: &'static str,
    /// Number of callers' threads.
    pub(super) threads: u32,
    /// Number of connections of each thread.
    pub(super) connections: u32,
    pub(super) length: Duration,
    /// Requests per second over all connections. Without it, each connection sends its next
    /// request as soon as the last one is answered.
    pub(super) rate: Option<f64>,
}

/// Results of the callers' requests. The latency is in microseconds.
#[derive(Clone, Debug)]
pub(super) struct PathResult {
    pub(super) latency: Histogram<u64>,
    pub(super) requests: u64,
    pub(super) failures: u64,
    pub(super) seconds: f64,
}

impl PathResult {
    fn new() -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("the bounds are valid");
        Self { latency, requests: 0, failures: 0, seconds: 0.0 }
    }

    fn add(&mut self, other: &Self) {
        self.latency.add(&other.latency).expect("the bounds are equal");
        self.requests += other.requests;
        self.failures += other.failures;
        self.seconds = self.seconds.max(other.seconds);
    }
}

impl PathLoad {
    /// Runs the callers, each group on its own thread.
    pub(super) fn run(self) -> PathResult {
        let start = |number| thread::spawn(move || runtime::block_on(self.run_thread(number)));
        let running: Vec<_> = (0..self.threads).map(start).collect();
        let mut sum = PathResult::new();
        for thread in running {
            let result = thread.join().expect("the callers do not panic");
            sum.add(&result.expect("the runtime starts"));
        }
        sum
    }

    async fn run_thread(self, thread: u32) -> PathResult {
        let result = Rc::new(RefCell::new(PathResult::new()));
        let began = Instant::now();
        let callers: Vec<_> = (0..self.connections)
            .map(|number| thread * self.connections + number)
            .map(|number| monoio::spawn(self.call(number, result.clone())))
            .collect();
        for caller in callers {
            caller.await;
        }
        result.borrow_mut().seconds = began.elapsed().as_secs_f64();
        result.replace(PathResult::new())
    }

    /// Sleeps for `duration`. A thread with one connection blocks instead of using the runtime's
    /// timer, whose resolution is only one millisecond.
    async fn sleep(self, duration: Duration) {
        if self.connections == 1 {
            thread::sleep(duration);
        } else {
            monoio::time::sleep(duration).await;
        }
    }

    async fn call(self, number: u32, result: Rc<RefCell<PathResult>>) {
        let limits = limits::Limits::new();
        let connection = client::Connection::connect(self.to, limits, CONNECT_TIMEOUT).await;
        let mut connection = connection.expect("the listener accepts");
        let req = http::Request::post(self.path).body(());
        let (head, ()) = req.expect("the request is well formed").into_parts();
        let total = self.threads * self.connections;
        let interval = self.rate.map(|rate| Duration::from_secs_f64(f64::from(total) / rate));
        let began = Instant::now();
        let mut due = began + interval.unwrap_or_default() * number / total;
        while began.elapsed() < self.length {
            if let Some(interval) = interval {
                self.sleep(due.saturating_duration_since(Instant::now())).await;
                due += interval;
            }
            let sent = Instant::now();
            let is_good = send_request(&mut connection, &head).await;
            let mut result = result.borrow_mut();
            result.requests += 1;
            if is_good {
                result.latency.saturating_record(sent.elapsed().as_micros() as u64);
            } else {
                result.failures += 1;
                return;
            }
        }
    }
}

/// Sends a request, and returns whether it was answered completely with status 200.
async fn send_request(connection: &mut client::Connection, head: &http::request::Parts) -> bool {
    let body = Bytes::from_static(b"hull");
    let Ok(mut response) = connection.send(head, body).await else { return false };
    let is_ok = response.status() == http::StatusCode::OK;
    is_ok && response.collect(u64::MAX).await.is_ok()
}
