use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use comfreymill_http::client;

/// Answer to a caller or operator.
pub type Answer = Result<http::Response<Bytes>, client::ClientError>;

/// One request with what it carries.
#[derive(Clone, Debug)]
pub struct Call {
    method: http::Method,
    target: String,
    headers: http::HeaderMap,
    body: Bytes,
    timeout: Duration,
}

impl Call {
    /// Request without a body.
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

    /// Request with a body.
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

    /// Sets the time for the whole answer.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends it on a connection of its own.
    ///
    /// # Errors
    ///
    /// No whole answer came.
    pub async fn send(self, address: SocketAddr) -> Answer {
        let target = http::Uri::try_from(self.target).expect("the target is a path");
        let Self { method, headers, body, timeout, .. } = self;
        client::request(address, method, target, headers, body, timeout).await
    }

    /// Sends it from a thread without a runtime.
    ///
    /// # Errors
    ///
    /// No whole answer came.
    pub fn send_blocking(self, address: SocketAddr) -> Answer {
        comfreymill_node::runtime::block_on(self.send(address)).expect("a runtime can be made")
    }
}
