use std::collections::HashMap;

use comfreymill_route::grant;
use comfreymill_route::router;
use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::time;

use super::Scenario;

const DOCUMENT: &str = r"
name: bench
version: 1
teams:
  - { name: three, share: 3 }
  - { name: one, share: 1 }
classes:
  - name: search
    kind: { prompt: { service: register, deadline: 250ms } }
  - name: slipway
    priority: urgent
    kind: { prompt: { service: register, deadline: 250ms } }
";

/// Open request at an entry. Its `arrival` is in microseconds of virtual time.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenRequest {
    pub(super) arrival: u64,
    pub(super) is_urgent: bool,
    pub(super) is_of_three: bool,
    pub(super) attempt: u32,
}

/// Simulated entry with a real router, in virtual time.
#[derive(Debug)]
pub(super) struct FakeEntry {
    pub(super) name: id::EntryName,
    pub(super) router: router::Router,
    pub(super) open: HashMap<u64, OpenRequest>,
    sequence: u64,
}

/// Parses a name that is known to be valid.
pub(super) fn name<N>(text: &str) -> N
where
    N: std::str::FromStr,
{
    text.parse().ok().expect("the name is valid")
}

impl FakeEntry {
    pub(super) fn new(number: usize, scenario: &Scenario) -> Self {
        let cfg = router::Config::new(name("south"), name("south-a"))
            .policy(scenario.policy)
            .ejection(scenario.ejection)
            .seed(scenario.seed + number as u64);
        let mut router = router::Router::new(cfg);
        let document = document::Environment::parse(DOCUMENT.as_bytes());
        router.set_document(&document.expect("the document is valid"));
        Self { name: name(&format!("entry{number}")), router, open: HashMap::new(), sequence: 0 }
    }

    pub(super) fn heartbeat(&mut self, now: time::Monotonic) -> grant::Heartbeat {
        self.sequence += 1;
        grant::Heartbeat {
            entry: self.name.clone(),
            incarnation: id::Incarnation::new(1),
            region: name("south"),
            zone: name("south-a"),
            sequence: self.sequence,
            demand: self.router.demand(now),
            holdings: self.router.holdings(0),
            avoided: self.router.avoided(0),
            draining: false,
        }
    }
}
