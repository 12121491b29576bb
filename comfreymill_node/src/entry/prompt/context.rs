use std::cell::Cell;
use std::rc::Rc;

use comfreymill_types::id;

use super::keys::Keys;
use crate::clock;
use crate::entry::dispatch;
use crate::entry::link;
use crate::entry::pool;
use crate::web;

/// What every request needs.
#[derive(Clone)]
pub struct Context {
    pub(super) clock: clock::Clock,
    pub(super) dispatcher: dispatch::Dispatcher,
    pub(super) link: link::Link,
    pub(super) pool: Rc<pool::Pool>,
    pub(super) keys: Rc<Keys>,
    pub(super) token: Option<web::Token>,
    pub(super) max_body_bytes: u64,
    pub(super) region: Option<id::RegionName>,
    next_request: Rc<Cell<u64>>,
}

impl Context {
    /// Context of an entry's listener for callers.
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
            keys: Rc::default(),
            token: None,
            max_body_bytes,
            region: None,
            next_request: Rc::new(Cell::new(1)),
        }
    }

    /// Names the region of this process.
    #[must_use]
    pub fn region(mut self, region: Option<id::RegionName>) -> Self {
        self.region = region;
        self
    }

    /// Asks callers for a token.
    #[must_use]
    pub fn token(mut self, token: Option<web::Token>) -> Self {
        self.token = token;
        self
    }

    /// Number of a new request.
    pub(super) fn take_number(&self) -> u64 {
        let number = self.next_request.get();
        self.next_request.set(number + 1);
        number
    }
}
