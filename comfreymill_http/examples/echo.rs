//! Echo server and its client in one process
//!
//! Without an argument it binds a free port, sends three requests on one connection, prints the
//! responses and shuts down gracefully. With an address such as `127.0.0.1:8080` it serves there
//! until the process is stopped.

use std::{env, error, io, io::Write as _, net, time};

use bytes::Bytes;
use comfreymill_http::{client, limits, server};

const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
const GRACE: time::Duration = time::Duration::from_secs(5);
const MAX_BODY_BYTES: u64 = 64 * 1024;

type Error = Box<dyn error::Error>;

async fn echo(mut req: server::Request<'_>) -> Result<(), server::ServerError> {
    let body = req.collect(MAX_BODY_BYTES).await?;
    let mut headers = http::HeaderMap::new();
    headers.insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static("text/plain"));
    req.respond(http::StatusCode::OK, &headers, body).await
}

async fn call(addr: net::SocketAddr) -> Result<(), Error> {
    let limits = limits::Limits::new();
    let mut conn = client::Connection::connect(addr, limits, CONNECT_TIMEOUT).await?;
    for text in ["one", "two", "three"] {
        let (head, ()) = http::Request::post("/echo").body(())?.into_parts();
        let mut response = conn.send(&head, Bytes::from(text)).await?;
        let status = response.status();
        let body = response.collect(MAX_BODY_BYTES).await?;
        writeln!(io::stdout(), "{status}: {}", String::from_utf8_lossy(&body))?;
    }
    Ok(())
}

async fn run(addr: Option<net::SocketAddr>) -> Result<(), Error> {
    let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    let listener = monoio::net::TcpListener::bind(addr.unwrap_or(any))?;
    let bound = listener.local_addr()?;
    let shutdown = server::Shutdown::new();
    let serving = server::serve(listener, limits::Limits::new(), echo, shutdown.clone());
    if addr.is_some() {
        serving.await;
        return Ok(());
    }
    let serving = monoio::spawn(serving);
    call(bound).await?;
    shutdown.begin(GRACE);
    let drained = serving.await;
    writeln!(io::stdout(), "left at the end: {} requests", drained.requests)?;
    Ok(())
}

fn main() -> Result<(), Error> {
    let addr = env::args().nth(1).map(|text| text.parse()).transpose()?;
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()?
        .block_on(run(addr))
}
