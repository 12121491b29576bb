use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use comfreymill_http::client;

/// Response to a caller's or operator's request.
pub type Answer = Result<http::Response<Bytes>, client::ClientError>;

/// HTTP request of a caller or operator.
#[derive(Clone, Debug)]
pub struct Call {
    method: http::Method,
    target: String,
    headers: http::HeaderMap,
    body: Bytes,
    timeout: Duration,
}

impl Call {
    /// Creates a GET request without a body.
    pub fn get<T>(target: T) -> Self
    where
        T: Into<String>,
    {
        Self {
            method: http::Method::GET,
            target: target.into(),
            headers: http::HeaderMap::new(),
            body: Bytes::new(),
            timeout: Duration::from_secs(15),
        }
    }

    /// Creates a POST request with a body.
    pub fn post<T, B>(target: T, body: B) -> Self
    where
        T: Into<String>,
        B: Into<Bytes>,
    {
        Self { method: http::Method::POST, body: body.into(), ..Self::get(target) }
    }

    /// Sets a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        let value = http::HeaderValue::try_from(value).expect("the value is visible ASCII");
        self.headers.insert(http::HeaderName::from_static(name), value);
        self
    }

    /// Sets the bearer token.
    #[must_use]
    pub fn token(self, token: &str) -> Self {
        self.header("authorization", &format!("Bearer {token}"))
    }

    /// Sets the timeout of the whole request, 15 seconds by default.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends the request on a new connection.
    ///
    /// # Errors
    ///
    /// No complete response was received.
    pub async fn send(self, address: SocketAddr) -> Answer {
        let target = http::Uri::try_from(self.target).expect("the target is a path");
        let Self { method, headers, body, timeout, .. } = self;
        client::request(address, method, target, headers, body, timeout).await
    }

    /// Sends the request from a thread without an async runtime.
    ///
    /// # Errors
    ///
    /// No complete response was received.
    pub fn send_blocking(self, address: SocketAddr) -> Answer {
        comfreymill_node::runtime::block_on(self.send(address)).expect("a runtime can be created")
    }
}
