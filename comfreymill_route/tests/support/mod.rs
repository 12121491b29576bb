use std::net;
use std::str;

use comfreymill_route::grant;
use comfreymill_route::router;
use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::time;

/// Document with one service, a class restricted to one zone and an unrepeatable class.
pub(crate) const DOCUMENT: &str = r"
name: trust
version: 1
teams:
  - { name: counter, share: 3 }
  - { name: desk, share: 1 }
classes:
  - name: search
    priority: normal
    kind: { prompt: { service: register, deadline: 200ms, queue_limit: 8 } }
  - name: slipway
    priority: urgent
    kind: { prompt: { service: register, deadline: 200ms, queue_limit: 8 } }
  - name: certificate
    unrepeatable: true
    kind: { prompt: { service: register, deadline: 200ms } }
  - name: north-only
    runs_in: { zones: [north-a] }
    kind: { prompt: { service: register, deadline: 200ms } }
";

/// Parses a name of any kind.
pub(crate) fn name<N>(text: &str) -> N
where
    N: str::FromStr,
{
    text.parse().ok().unwrap_or_else(|| panic!("`{text}` is not a name"))
}

pub(crate) fn document() -> document::Environment {
    document::Environment::parse(DOCUMENT.as_bytes()).expect("the document is valid")
}

pub(crate) fn ms(millis: u64) -> time::Monotonic {
    time::Monotonic::from_millis(millis)
}

pub(crate) fn config() -> router::Config {
    router::Config::new(name("south"), name("south-a")).seed(7)
}

pub(crate) fn executor(number: u16, slots: u32) -> router::ExecutorView {
    router::ExecutorView {
        name: name(&format!("e{number}")),
        incarnation: id::Incarnation::new(1),
        service: name("register"),
        address: net::SocketAddr::from(([127, 0, 0, 1], number)),
        region: name("south"),
        zone: name("south-a"),
        slots,
        connections: slots * 8,
        epoch: 1,
        leaving: false,
    }
}

pub(crate) fn table(version: u64, executors: Vec<router::ExecutorView>) -> router::Table {
    router::Table { source: 0, version, executors }
}

/// Returns a router with the document and `count` executors of `slots` slots each.
pub(crate) fn router(cfg: router::Config, count: u16, slots: u32) -> router::Router {
    let mut router = router::Router::new(cfg);
    router.set_document(&document());
    let executors = (1..=count).map(|number| executor(number, slots)).collect();
    router.update_executors(ms(0), table(1, executors));
    router
}

pub(crate) fn request(id: u64, class: &str, now: time::Monotonic) -> router::RequestView {
    router::RequestView {
        id,
        class: name(class),
        team: name("counter"),
        arrival: now,
        deadline: None,
        keyed: false,
        unrepeatable: false,
    }
}

/// Returns the executor to which a request was sent, or panics if the request was not sent.
pub(crate) fn sent_to(admission: &router::Admission) -> id::ExecutorName {
    match admission {
        router::Admission::Send { executor, .. } => executor.clone(),
        other => panic!("not sent: {other:?}"),
    }
}

pub(crate) fn announcement(executor: &str, incarnation: u64, slots: u32) -> grant::Announcement {
    grant::Announcement {
        name: name(executor),
        incarnation: id::Incarnation::new(incarnation),
        service: name("register"),
        address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
        region: name("south"),
        zone: name("south-a"),
        slots,
        connections: slots * 8,
    }
}

pub(crate) fn round_robin() -> router::Policy {
    router::Policy::RoundRobin
}
