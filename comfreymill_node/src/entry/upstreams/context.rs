use crate::entry::link;
use crate::web;

/// What every request of an upstream needs.
#[derive(Clone, Debug)]
pub struct Context {
    /// Link to the leader.
    pub link: link::Link,
    /// Token that upstreams are asked for.
    pub token: Option<web::Token>,
}
