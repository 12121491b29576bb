use std::{net, time};

use comfreymill_http::{client, limits};

const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Opens a connection with [`super::limits`].
pub(crate) async fn open(addr: net::SocketAddr) -> client::Connection {
    open_with(addr, super::limits()).await
}

/// Opens a connection with the given limits.
pub(crate) async fn open_with(addr: net::SocketAddr, limits: limits::Limits) -> client::Connection {
    client::Connection::connect(addr, limits, CONNECT_TIMEOUT).await.expect("open")
}

/// Returns a request head with this method.
pub(crate) fn head(method: &str) -> http::request::Parts {
    http::Request::builder().method(method).uri("/x").body(()).expect("request").into_parts().0
}
