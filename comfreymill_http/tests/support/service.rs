use std::{net, time};

use comfreymill_http::{limits::Limits, server};

use super::with_timeout;

/// Returns limits that are small enough to be exceeded in tests.
pub(crate) fn limits() -> Limits {
    Limits::new()
        .max_head_bytes(2048)
        .max_headers(16)
        .max_body_bytes(64 * 1024)
        .linger_timeout(time::Duration::from_millis(500))
}

/// An HTTP server on a free port.
pub(crate) struct Service {
    pub(crate) addr: net::SocketAddr,
    pub(crate) shutdown: server::Shutdown,
    task: monoio::task::JoinHandle<server::DrainReport>,
}

impl Service {
    pub(crate) fn start<H>(limits: Limits, handler: H) -> Self
    where
        H: AsyncFn(server::Request<'_>) -> Result<(), server::ServerError> + 'static,
    {
        let listener = monoio::net::TcpListener::bind("127.0.0.1:0").expect("bind");
        let addr = listener.local_addr().expect("address");
        let shutdown = server::Shutdown::new();
        let task = monoio::spawn(server::serve(listener, limits, handler, shutdown.clone()));
        Self { addr, shutdown, task }
    }

    pub(crate) fn echo(limits: Limits) -> Self {
        Self::start(limits, echo)
    }

    /// Waits until the server has stopped; its shutdown must have begun.
    pub(crate) async fn ended(self) -> server::DrainReport {
        with_timeout(self.task).await
    }
}

/// Responds with the body of the request, and its target in the `x-target` header.
async fn echo(mut req: server::Request<'_>) -> Result<(), server::ServerError> {
    let body = req.collect(u64::MAX).await?;
    let mut headers = http::HeaderMap::new();
    let target = http::HeaderValue::from_str(&req.uri().to_string()).expect("target");
    headers.insert("x-target", target);
    req.respond(http::StatusCode::OK, &headers, body).await
}
