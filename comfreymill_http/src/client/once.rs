use std::{net, time};

use bytes::Bytes;
use monoio::time as timer;

use super::{ClientError, ClientErrorKind, Connection, Sent};
use crate::limits;

/// Sends one request on a new connection and reads the complete response.
///
/// `timeout` covers the connect, the request and the response.
///
/// # Errors
///
/// A [`ClientError`], which says whether any byte of the request was written. At the timeout this
/// is [`Sent::Some`], unless the connection was not yet open.
pub async fn request(
    addr: net::SocketAddr,
    method: http::Method,
    target: http::Uri,
    headers: http::HeaderMap,
    body: Bytes,
    timeout: time::Duration,
) -> Result<http::Response<Bytes>, ClientError> {
    let began = time::Instant::now();
    let limits = limits::Limits::new().response_timeout(timeout);
    let max_bytes = limits.get_max_body_bytes();
    let mut conn = Connection::connect(addr, limits, timeout).await?;
    let (mut head, ()) = http::Request::new(()).into_parts();
    head.method = method;
    head.uri = target;
    head.headers = headers;
    let left = timeout.saturating_sub(began.elapsed());
    let exchange = async {
        let mut response = conn.send(&head, body).await?;
        let body = response.collect(max_bytes).await?;
        let mut complete = http::Response::new(body);
        *complete.status_mut() = response.status();
        *complete.headers_mut() = response.take_headers();
        Ok(complete)
    };
    let timed_out = ClientError { kind: ClientErrorKind::ResponseTimeout, sent: Sent::Some };
    timer::timeout(left, exchange).await.unwrap_or(Err(timed_out))
}
