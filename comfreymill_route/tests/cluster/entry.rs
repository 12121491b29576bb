use std::collections::{HashMap, HashSet};
use std::time::Duration;

use comfreymill_route::grant;
use comfreymill_route::router;
use comfreymill_types::id;
use comfreymill_types::time;

use super::message::Attempt;
use crate::support;

/// Simulated entry: a router with a record of the answers to callers.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) name: String,
    pub(super) incarnation: u64,
    pub(super) is_up: bool,
    pub(super) is_partitioned: bool,
    pub(super) router: router::Router,
    pub(super) sequence: u64,
    /// Unanswered requests with their deadlines and running attempts.
    pub(super) open: HashMap<u64, (time::Monotonic, Option<Attempt>)>,
    /// Requests whose caller disconnected or whose entry crashed.
    pub(super) abandoned: HashSet<u64>,
    /// Number of answers to each request.
    pub(super) answers: HashMap<u64, u32>,
}

pub(super) const UNRESOLVED_HOLD: Duration = Duration::from_millis(400);

fn router(incarnation: u64) -> router::Router {
    let cfg = support::config().unresolved_hold(UNRESOLVED_HOLD).seed(incarnation);
    let mut router = router::Router::new(cfg);
    router.set_document(&support::document());
    router.set_lease(time::Monotonic::ZERO, 0, time::Monotonic::ZERO);
    router
}

impl Entry {
    pub(super) fn new(number: usize) -> Self {
        Self {
            name: format!("entry{number}"),
            incarnation: 1,
            is_up: true,
            is_partitioned: false,
            router: router(1),
            sequence: 0,
            open: HashMap::new(),
            abandoned: HashSet::new(),
            answers: HashMap::new(),
        }
    }

    pub(super) fn is_alive(&self, incarnation: u64) -> bool {
        self.is_up && self.incarnation == incarnation
    }

    pub(super) fn crash(&mut self) {
        self.is_up = false;
        self.abandoned.extend(self.open.drain().map(|(request, _)| request));
    }

    pub(super) fn restart(&mut self) {
        self.incarnation += 1;
        self.is_up = true;
        self.sequence = 0;
        self.router = router(self.incarnation);
    }

    /// Records an answer to the caller.
    pub(super) fn answer(&mut self, request: u64) {
        let was_open = self.open.remove(&request).is_some();
        assert!(was_open, "{} answered {request}, which is not open", self.name);
        *self.answers.entry(request).or_default() += 1;
    }

    /// Records that the caller disconnected.
    pub(super) fn abandon(&mut self, request: u64) {
        self.open.remove(&request);
        self.abandoned.insert(request);
    }

    pub(super) fn heartbeat(&mut self, now: time::Monotonic) -> grant::Heartbeat {
        self.sequence += 1;
        grant::Heartbeat {
            entry: support::name(&self.name),
            incarnation: id::Incarnation::new(self.incarnation),
            region: support::name("south"),
            zone: support::name("south-a"),
            sequence: self.sequence,
            demand: self.router.demand(now),
            holdings: self.router.holdings(0),
            avoided: self.router.avoided(0),
            draining: false,
        }
    }
}
