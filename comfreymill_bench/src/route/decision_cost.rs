use std::net;
use std::time::{Duration, Instant};

use comfreymill_route::router::{
    Admission, Config, ExecutorView, Outcome, Policy, RequestView, Router, Table,
};
use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::time;

use super::fake_entry::name;
use crate::figure::Figure;

const EXECUTORS: u16 = 910;
const SLOTS: u32 = 8;
const ROUNDS: u64 = 200_000;
const DOCUMENT: &str = r"
name: bench
version: 1
classes:
  - name: search
    kind: { prompt: { service: register, deadline: 250ms } }
";

/// Measures the cost of a routing decision and of a request's end, per policy. All slots of 910
/// executors are granted to the entry, and half of them are in use.
pub fn measure_decision_cost(seed: u64) -> Vec<Figure> {
    [Policy::LeastLoaded, Policy::RoundRobin, Policy::Random, Policy::TwoChoices]
        .into_iter()
        .flat_map(|policy| measure_policy(policy, seed))
        .collect()
}

fn measure_policy(policy: Policy, seed: u64) -> Vec<Figure> {
    let mut router = router(policy, seed);
    let half = u64::from(EXECUTORS) * u64::from(SLOTS) / 2;
    let mut submits = Duration::ZERO;
    let mut ends = Duration::ZERO;
    for id in 0..half + ROUNDS {
        let now = time::Monotonic::from_micros(id);
        let req = request(id, now);
        let start = Instant::now();
        let admission = router.submit(now, &req);
        let submitted = Instant::now();
        assert!(matches!(admission, Admission::Send { .. }), "a slot is free");
        if id < half {
            continue;
        }
        submits += submitted - start;
        let latency = Duration::from_micros(9_000 + (id * 7_919) % 2_000);
        let start = Instant::now();
        router.finished(now, id - half, 1, Outcome::Answered { latency, status: 200 });
        ends += start.elapsed();
    }
    let mean_micros = |total: Duration| total.as_secs_f64() * 1e6 / ROUNDS as f64;
    let name = |what: &str| format!("{policy}, {EXECUTORS} executors: {what}");
    vec![
        Figure::new(name("decision"), mean_micros(submits), "us", seed),
        Figure::new(name("end of a request"), mean_micros(ends), "us", seed),
    ]
}

fn router(policy: Policy, seed: u64) -> Router {
    let cfg = Config::new(name("south"), name("south-a")).policy(policy).seed(seed);
    let mut router = Router::new(cfg);
    let document = document::Environment::parse(DOCUMENT.as_bytes());
    router.set_document(&document.expect("the document is valid"));
    let executors = (1..=EXECUTORS).map(view).collect();
    router.update_executors(time::Monotonic::ZERO, Table { source: 0, version: 1, executors });
    router
}

fn view(number: u16) -> ExecutorView {
    ExecutorView {
        name: name(&format!("e{number}")),
        incarnation: id::Incarnation::new(1),
        service: name("register"),
        address: net::SocketAddr::from(([127, 0, 0, 1], number)),
        region: name("south"),
        zone: name("south-a"),
        slots: SLOTS,
        connections: 8 * SLOTS,
        epoch: 1,
        leaving: false,
    }
}

fn request(id: u64, now: time::Monotonic) -> RequestView {
    RequestView {
        id,
        class: name("search"),
        team: name("three"),
        arrival: now,
        deadline: None,
        keyed: false,
        unrepeatable: false,
    }
}
