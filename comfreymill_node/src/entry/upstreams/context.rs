use crate::entry::link;
use crate::web;

/// Shared state for handling the upstreams' requests.
#[derive(Clone, Debug)]
pub struct Context {
    /// Link to the leader.
    pub link: link::Link,
    /// Token that upstreams must present; `None` disables the check.
    pub token: Option<web::Token>,
}
