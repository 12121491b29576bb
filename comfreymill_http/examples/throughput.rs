//! Benchmark of the server and the client on one thread, over loopback
//!
//! `throughput [CONNECTIONS] [REQUESTS] [BODY_BYTES]` sends the requests on persistent connections
//! and prints the requests per second, the CPU time per request and latency quantiles. The CPU time
//! is that of the whole thread: server, client and kernel together.

use std::{cell, env, error, fs, io, io::Write as _, net, rc, time};

use bytes::Bytes;
use comfreymill_http::{client, limits, server};
use futures_util::future;

const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(5);
const GRACE: time::Duration = time::Duration::from_secs(5);
const MAX_REQUESTS: usize = 2_000_000;
const MAX_CONNECTIONS: usize = 2_000;

type Error = Box<dyn error::Error>;

async fn echo(mut req: server::Request<'_>) -> Result<(), server::ServerError> {
    let body = req.collect(u64::MAX).await?;
    req.respond(http::StatusCode::OK, &http::HeaderMap::new(), body).await
}

/// Sends requests until none are left, and returns the latency of each.
async fn call(
    addr: net::SocketAddr,
    left: rc::Rc<cell::Cell<usize>>,
    body: Bytes,
) -> Result<Vec<time::Duration>, client::ClientError> {
    let limits = limits::Limits::new();
    let mut conn = client::Connection::connect(addr, limits, CONNECT_TIMEOUT).await?;
    let (mut head, ()) = http::Request::new(()).into_parts();
    head.method = http::Method::POST;
    let mut latencies = Vec::new();
    while let Some(rest) = left.get().checked_sub(1) {
        left.set(rest);
        let began = time::Instant::now();
        conn.send(&head, body.clone()).await?.collect(u64::MAX).await?;
        latencies.push(began.elapsed());
    }
    Ok(latencies)
}

/// Returns the CPU time used by this thread.
fn processor_time() -> Result<time::Duration, Error> {
    let text = fs::read_to_string("/proc/thread-self/schedstat")?;
    let nanos =
        text.split_whitespace().next().ok_or("/proc/thread-self/schedstat is empty")?.parse()?;
    Ok(time::Duration::from_nanos(nanos))
}

async fn run(connections: usize, requests: usize, body_bytes: usize) -> Result<(), Error> {
    let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    let listener = monoio::net::TcpListener::bind(any)?;
    let addr = listener.local_addr()?;
    let shutdown = server::Shutdown::new();
    let serving = server::serve(listener, limits::Limits::new(), echo, shutdown.clone());
    let serving = monoio::spawn(serving);

    let left = rc::Rc::new(cell::Cell::new(requests));
    let body = Bytes::from(vec![b'x'; body_bytes]);
    let began = time::Instant::now();
    let processor_began = processor_time()?;
    let calls = (0..connections).map(|_| call(addr, rc::Rc::clone(&left), body.clone()));
    let latencies = future::try_join_all(calls).await?.concat();
    let elapsed = began.elapsed();
    let processor = processor_time()? - processor_began;
    shutdown.begin(GRACE);
    serving.await;
    report(connections, body_bytes, latencies, elapsed, processor)
}

fn report(
    connections: usize,
    body_bytes: usize,
    mut latencies: Vec<time::Duration>,
    elapsed: time::Duration,
    processor: time::Duration,
) -> Result<(), Error> {
    latencies.sort_unstable();
    let count = latencies.len();
    let quantile = |per_mille: usize| latencies.get((count * per_mille / 1000).min(count - 1));
    let rate = count as f64 / elapsed.as_secs_f64();
    let cost = processor.as_secs_f64() * 1e6 / count as f64;
    let mut out = io::stdout().lock();
    writeln!(out, "connections {connections}, requests {count}, body {body_bytes} B")?;
    writeln!(out, "{rate:.0} requests/s, {cost:.2} us of processor time per request")?;
    writeln!(out, "latency p50 {:?}, p99 {:?}", quantile(500), quantile(990))?;
    Ok(())
}

fn argument(index: usize, default: usize, max: usize) -> Result<usize, Error> {
    let given = env::args().nth(index).map(|text| text.parse()).transpose()?;
    Ok(given.unwrap_or(default).clamp(1, max))
}

fn main() -> Result<(), Error> {
    let connections = argument(1, 16, MAX_CONNECTIONS)?;
    let requests = argument(2, 200_000, MAX_REQUESTS)?;
    let body_bytes = argument(3, 200, 8 * 1024 * 1024)?;
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer().build()?.block_on(run(
        connections,
        requests,
        body_bytes,
    ))
}
