use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use comfreymill_http::client;
use comfreymill_http::limits;
use monoio::io::AsyncWriteRentExt as _;

const LIMIT: Duration = Duration::from_secs(30);

/// Answer that a caller received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Answer {
    pub(super) status: u16,
    /// Kind of the error; empty if the answer is no error.
    pub(super) kind: String,
    /// Whether the request was run; empty if the answer is no error.
    pub(super) run: String,
    /// Number under which operators find the decisions on the request.
    pub(super) number: String,
    pub(super) body: String,
}

impl Answer {
    /// Returns the status, the kind of the error and whether the request was run.
    pub(super) fn error(&self) -> (u16, &str, &str) {
        (self.status, &self.kind, &self.run)
    }
}

/// Sends a request to a class and reads the complete answer.
pub(super) async fn send(to: SocketAddr, class: &str, body: &str) -> Answer {
    send_with_headers(to, class, body, &[]).await
}

/// Sends a request with additional headers and reads the complete answer.
pub(super) async fn send_with_headers(
    to: SocketAddr,
    class: &str,
    body: &str,
    headers: &[(&str, &str)],
) -> Answer {
    let limits = limits::Limits::new();
    let mut connection =
        client::Connection::connect(to, limits, LIMIT).await.expect("the entry listens");
    let mut req = http::Request::post(format!("/v1/trust/{class}/find"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let (head, ()) = req.body(()).expect("the request is well formed").into_parts();
    let body = Bytes::from(body.to_owned());
    let mut response = connection.send(&head, body).await.expect("the entry answers");
    let header = |name: &str| {
        let value = response.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let status = response.status().as_u16();
    let (kind, run) = (header("comfreymill-error"), header("comfreymill-run"));
    let number = header("comfreymill-request");
    let body = response.collect(u64::MAX).await.expect("the answer is whole");
    Answer { status, kind, run, number, body: String::from_utf8_lossy(&body).into_owned() }
}

/// Sends a request and closes the connection after a delay, without reading the answer.
pub(super) async fn send_and_disconnect(to: SocketAddr, class: &str, body: &str, after: Duration) {
    let mut stream = monoio::net::TcpStream::connect_addr(to).await.expect("the entry listens");
    let length = body.len();
    let text = format!(
        "POST /v1/trust/{class}/find HTTP/1.1\r\nHost: entry\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.into_bytes()).await.0.expect("the entry reads");
    monoio::time::sleep(after).await;
}
