use bytes::Bytes;

/// Request to an operators' listener.
#[derive(Clone, Debug)]
pub(super) struct Request {
    method: http::Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
    operation: Option<String>,
}

impl Request {
    /// Creates a GET request, which reads state.
    pub(super) fn get<P>(path: P) -> Self
    where
        P: Into<String>,
    {
        Self::new(http::Method::GET, path.into())
    }

    /// Creates a POST request, which changes state.
    pub(super) fn post<P>(path: P) -> Self
    where
        P: Into<String>,
    {
        Self::new(http::Method::POST, path.into())
    }

    fn new(method: http::Method, path: String) -> Self {
        Self { method, path, headers: Vec::new(), body: Bytes::new(), operation: None }
    }

    /// HTTP method.
    pub(super) fn get_method(&self) -> &http::Method {
        &self.method
    }

    /// Path with query.
    pub(super) fn get_path(&self) -> &str {
        &self.path
    }

    /// Headers.
    pub(super) fn get_headers(&self) -> &[(&'static str, String)] {
        &self.headers
    }

    /// Body.
    pub(super) fn get_body(&self) -> &Bytes {
        &self.body
    }

    /// Command line flag that resends the same change, if the change has an id or key.
    pub(super) fn get_operation(&self) -> Option<&str> {
        self.operation.as_deref()
    }

    /// Adds a header.
    #[must_use]
    pub(super) fn header(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }

    /// Sets the body.
    #[must_use]
    pub(super) fn body<B>(mut self, body: B) -> Self
    where
        B: Into<Bytes>,
    {
        self.body = body.into();
        self
    }

    /// Sets the command line flag that resends the same change.
    #[must_use]
    pub(super) fn operation(mut self, flag: String) -> Self {
        self.operation = Some(flag);
        self
    }
}
