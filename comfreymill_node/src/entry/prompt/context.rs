use std::cell::Cell;
use std::rc::Rc;

use comfreymill_types::id;

use super::keyed_runs::KeyedRuns;
use crate::clock;
use crate::entry::dispatch;
use crate::entry::link;
use crate::entry::pool;
use crate::web;

/// Shared state for handling the callers' requests.
#[derive(Clone)]
pub struct Context {
    pub(super) clock: clock::Clock,
    pub(super) dispatcher: dispatch::Dispatcher,
    pub(super) link: link::Link,
    pub(super) pool: Rc<pool::Pool>,
    pub(super) keyed_runs: Rc<KeyedRuns>,
    pub(super) token: Option<web::Token>,
    pub(super) max_body_bytes: u64,
    pub(super) region: Option<id::RegionName>,
    next_request: Rc<Cell<u64>>,
}

impl Context {
    /// Creates a context without region and token.
    pub fn new(
        clock: clock::Clock,
        dispatcher: dispatch::Dispatcher,
        link: link::Link,
        pool: Rc<pool::Pool>,
        max_body_bytes: u64,
    ) -> Self {
        Self {
            clock,
            dispatcher,
            link,
            pool,
            keyed_runs: Rc::default(),
            token: None,
            max_body_bytes,
            region: None,
            next_request: Rc::new(Cell::new(1)),
        }
    }

    /// Sets the region of this process, used to count traffic between regions.
    #[must_use]
    pub fn region(mut self, region: Option<id::RegionName>) -> Self {
        self.region = region;
        self
    }

    /// Sets the token that callers must present; `None` disables the check.
    #[must_use]
    pub fn token(mut self, token: Option<web::Token>) -> Self {
        self.token = token;
        self
    }

    /// Returns the number for a new request.
    pub(super) fn take_number(&self) -> u64 {
        let number = self.next_request.get();
        self.next_request.set(number + 1);
        number
    }
}
