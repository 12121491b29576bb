//! Health probes of executors, each on a new connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use comfreymill_http::client;

const TIMEOUT: Duration = Duration::from_secs(1);
const PATH: &str = "/healthz";

/// Returns whether the executor answers on a new connection without a server error.
pub(super) async fn is_healthy(address: SocketAddr) -> bool {
    let target = http::Uri::from_static(PATH);
    let headers = http::HeaderMap::new();
    let probe = client::request(address, http::Method::GET, target, headers, Bytes::new(), TIMEOUT);
    probe.await.is_ok_and(|response| !response.status().is_server_error())
}
