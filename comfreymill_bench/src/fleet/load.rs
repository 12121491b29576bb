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

/// Callers on kept connections, all on one thread.
#[derive(Clone, Debug)]
pub(super) struct Load {
    pub(super) address: SocketAddr,
    pub(super) connections: usize,
    pub(super) span: Duration,
    /// Requests a second of all callers; none for as many as are answered.
    pub(super) rate: Option<f64>,
    /// Beginning of the idempotency keys; none for requests without one.
    pub(super) key: Option<String>,
}

/// What the callers saw.
#[derive(Clone, Debug, Default)]
pub(super) struct Seen {
    pub(super) latencies: Sample,
    pub(super) refused: usize,
}

impl Load {
    /// Sends requests until the span is over.
    pub(super) fn run(&self) -> Result<Seen, BenchError> {
        let seen = Rc::new(RefCell::new(Seen::default()));
        let mine = Rc::clone(&seen);
        let run = async move {
            let callers: Vec<_> = (0..self.connections)
                .map(|number| monoio::spawn(call(self.clone(), number, Rc::clone(&mine))))
                .collect();
            for caller in callers {
                caller.await.map_err(|error| BenchError::Unexpected(error.to_string()))?;
            }
            Ok::<_, BenchError>(())
        };
        comfreymill_node::runtime::block_on(run)??;
        let seen = seen.take();
        if seen.latencies.count() == 0 {
            return Err(BenchError::Unexpected("no request was answered".to_owned()));
        }
        Ok(seen)
    }

    /// Time between two requests of one caller.
    fn gap(&self) -> Option<Duration> {
        self.rate.map(|rate| Duration::from_secs_f64(self.connections as f64 / rate))
    }
}

async fn call(
    load: Load,
    number: usize,
    seen: Rc<RefCell<Seen>>,
) -> Result<(), client::ClientError> {
    let limits = limits::Limits::new();
    let mut conn = client::Connection::connect(load.address, limits, CONNECT_TIMEOUT).await?;
    let body = Bytes::from(vec![b'x'; BODY_BYTES]);
    let began = Instant::now();
    let offset = load.gap().map(|gap| gap.mul_f64(number as f64 / load.connections as f64));
    let mut turn = 0_u32;
    while began.elapsed() < load.span {
        if let Some(gap) = load.gap() {
            let due = gap * turn + offset.unwrap_or_default();
            monoio::time::sleep(due.saturating_sub(began.elapsed())).await;
        }
        let head = head(&load, number, turn);
        let sent_at = Instant::now();
        let mut response = conn.send(&head, body.clone()).await?;
        response.collect(MAX_BODY_BYTES).await?;
        let is_answered = response.status().is_success();
        let mut seen = seen.borrow_mut();
        if is_answered {
            seen.latencies.add(sent_at.elapsed());
        } else {
            seen.refused += 1;
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
