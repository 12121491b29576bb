use std::fmt;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use super::FirstDayError;
use crate::standin::Call;

const SERVE_TIMEOUT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(50);
const PAUSE: Duration = Duration::from_millis(10);
const HIGHEST_MICROS: u64 = 60_000_000;

/// Callers that send search requests, each on its own thread.
#[derive(Debug)]
pub struct Searches {
    callers: Vec<thread::JoinHandle<Latencies>>,
}

/// Latencies of the answered searches, and the number of failed ones.
#[derive(Clone, Debug)]
pub struct Latencies {
    micros: Histogram<u64>,
    failed: u64,
}

impl Searches {
    /// Waits until a search is answered.
    ///
    /// # Errors
    ///
    /// No search was answered in time.
    pub fn wait_until_served(callers: SocketAddr) -> Result<(), FirstDayError> {
        let began = Instant::now();
        while began.elapsed() < SERVE_TIMEOUT {
            if search(callers, 0) {
                return Ok(());
            }
            thread::sleep(POLL);
        }
        let last = "no search was answered".to_owned();
        Err(super::client::failed("search", last))
    }

    /// Starts callers that each send so many searches, one after the other.
    pub fn start(address: SocketAddr, callers: usize, searches: u32) -> Self {
        let run = move || {
            let mut latencies = Latencies::new();
            for number in 0..searches {
                latencies.add(address, number);
                thread::sleep(PAUSE);
            }
            latencies
        };
        Self { callers: (0..callers).map(|_| thread::spawn(run)).collect() }
    }

    /// Waits for all callers, and returns their combined latencies.
    ///
    /// # Errors
    ///
    /// A caller panicked.
    pub fn finish(self) -> Result<Latencies, FirstDayError> {
        let mut all = Latencies::new();
        for caller in self.callers {
            let panicked = |_| super::client::failed("search", "a caller panicked".to_owned());
            let latencies = caller.join().map_err(panicked)?;
            all.failed += latencies.failed;
            // Adding cannot fail: both histograms have the same bounds.
            all.micros.add(latencies.micros).ok();
        }
        Ok(all)
    }
}

impl Latencies {
    fn new() -> Self {
        let micros = Histogram::new_with_bounds(1, HIGHEST_MICROS, 3);
        Self { micros: micros.expect("the bounds are valid"), failed: 0 }
    }

    fn add(&mut self, address: SocketAddr, number: u32) {
        let began = Instant::now();
        if search(address, number) {
            let micros = u64::try_from(began.elapsed().as_micros()).unwrap_or(HIGHEST_MICROS);
            self.micros.saturating_record(micros);
        } else {
            self.failed += 1;
        }
    }
}

impl fmt::Display for Latencies {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = |quantile| self.micros.value_at_quantile(quantile) as f64 / 1e3;
        write!(
            f,
            "name-search: {} answered, {} failed, latency p50 {:.2} ms, p99 {:.2} ms, p99.9 {:.2} ms",
            self.micros.len(),
            self.failed,
            millis(0.5),
            millis(0.99),
            millis(0.999)
        )
    }
}

fn search(address: SocketAddr, number: u32) -> bool {
    let call = Call::post(format!("/v1/derwent-hull/name-search/hull-{number}"), "name")
        .header("comfreymill-team", "counter");
    call.send_blocking(address).is_ok_and(|answer| answer.status().is_success())
}
