use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use comfreymill_http::{client, limits};

use super::Sample;
use crate::error::BenchError;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_BODY_BYTES: u64 = 1 << 20;
const BODY_BYTES: usize = 200;

/// Load of callers on persistent connections, all on one thread.
#[derive(Clone, Debug)]
pub(super) struct Load {
    pub(super) address: SocketAddr,
    pub(super) connections: usize,
    pub(super) span: Duration,
    /// Requests per second of all callers. Without it, each caller sends its next request as soon
    /// as the last one is answered.
    pub(super) rate: Option<f64>,
    /// Prefix of the idempotency keys. Without it, requests have no key.
    pub(super) key: Option<String>,
}

/// Results of the callers' requests.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadResult {
    pub(super) latencies: Sample,
    pub(super) refused: usize,
}

impl Load {
    /// Sends requests until `span` has elapsed.
    pub(super) fn run(&self) -> Result<LoadResult, BenchError> {
        let result = Rc::new(RefCell::new(LoadResult::default()));
        let shared = Rc::clone(&result);
        let run = async move {
            let callers: Vec<_> = (0..self.connections)
                .map(|number| monoio::spawn(call(self.clone(), number, Rc::clone(&shared))))
                .collect();
            for caller in callers {
                caller.await.map_err(|error| BenchError::Unexpected(error.to_string()))?;
            }
            Ok::<_, BenchError>(())
        };
        comfreymill_node::runtime::block_on(run)??;
        let result = result.take();
        if result.latencies.count() == 0 {
            return Err(BenchError::Unexpected("no request was answered".to_owned()));
        }
        Ok(result)
    }

    /// Returns the interval between two requests of one caller.
    fn interval(&self) -> Option<Duration> {
        self.rate.map(|rate| Duration::from_secs_f64(self.connections as f64 / rate))
    }
}

async fn call(
    load: Load,
    number: usize,
    result: Rc<RefCell<LoadResult>>,
) -> Result<(), client::ClientError> {
    let limits = limits::Limits::new();
    let mut conn = client::Connection::connect(load.address, limits, CONNECT_TIMEOUT).await?;
    let body = Bytes::from(vec![b'x'; BODY_BYTES]);
    let began = Instant::now();
    let offset =
        load.interval().map(|interval| interval.mul_f64(number as f64 / load.connections as f64));
    let mut turn = 0_u32;
    while began.elapsed() < load.span {
        if let Some(interval) = load.interval() {
            let due = interval * turn + offset.unwrap_or_default();
            monoio::time::sleep(due.saturating_sub(began.elapsed())).await;
        }
        let head = head(&load, number, turn);
        let sent_at = Instant::now();
        let mut response = conn.send(&head, body.clone()).await?;
        response.collect(MAX_BODY_BYTES).await?;
        let is_answered = response.status().is_success();
        let mut result = result.borrow_mut();
        if is_answered {
            result.latencies.add(sent_at.elapsed());
        } else {
            result.refused += 1;
        }
        turn += 1;
    }
    Ok(())
}

fn head(load: &Load, number: usize, turn: u32) -> http::request::Parts {
    let (mut head, ()) = http::Request::new(()).into_parts();
    head.method = http::Method::POST;
    head.uri = http::Uri::from_static("/v1/derwent-hull/name-search/hull-17");
    head.headers.insert("comfreymill-team", http::HeaderValue::from_static("counter"));
    if let Some(key) = &load.key {
        let key = http::HeaderValue::try_from(format!("{key}-{number}-{turn}"));
        head.headers.insert("idempotency-key", key.expect("the key is visible ASCII"));
    }
    head
}
