use std::hint;
use std::net;
use std::time::Instant;

use comfreymill_route::grant;
use comfreymill_route::router;
use comfreymill_types::id;
use comfreymill_types::time;

use super::names;
use crate::figure::Figure;

const EXECUTORS: [usize; 4] = [65, 228, 910, 3_600];
const ENTRIES: usize = 8;
const SLOTS: u32 = 8;
const ROUNDS: usize = 20;
const TERM: u64 = 3;
const INCARNATION: id::Incarnation = id::Incarnation::new(1);

/// Measures a leader's granter with eight entries that together demand half of all slots.
pub fn granter_slopes(seed: u64) -> Vec<Figure> {
    EXECUTORS.into_iter().flat_map(|executors| measure_size(executors, seed)).collect()
}

fn measure_size(executors: usize, seed: u64) -> Vec<Figure> {
    let mut bench = Bench::new(executors);
    let heartbeats: Vec<_> = (0..ENTRIES).map(|entry| bench.heartbeat(entry)).collect();
    let mut figures = Vec::new();
    let mut add = |name: &str, value: f64, unit: &str| {
        let name = format!("leader.{executors}_executors.{name}");
        figures.push(Figure::new(name, value, unit, seed));
    };
    let first = micros(|| bench.plan());
    add("first_plan", first / 1e3, "ms");
    let grants = bench.commit_all();
    add("grants", grants.len() as f64, "grants");
    let send_heartbeats = |bench: &mut Bench| {
        for heartbeat in &heartbeats {
            bench.granter.heartbeat(bench.now, heartbeat);
        }
    };
    add("entry_heartbeat", each(ENTRIES, || send_heartbeats(&mut bench)), "us");
    add("plan", each(1, || bench.plan()) / 1e3, "ms");
    add("announcement", each(executors, || bench.announce_all()), "us");
    add("table_for_an_entry", each(1, || bench.table()) / 1e3, "ms");
    let recover = || {
        let cfg = grant::Config::default();
        let grants = grants.iter().cloned();
        hint::black_box(grant::Granter::recover(cfg, 0, TERM + 1, bench.now, grants));
    };
    add("recover", each(1, recover) / 1e3, "ms");
    figures
}

/// Returns the duration of one call, in microseconds.
fn micros<F>(call: F) -> f64
where
    F: FnOnce(),
{
    let began = Instant::now();
    call();
    began.elapsed().as_secs_f64() * 1e6
}

/// Returns the mean duration of each of the `parts` of a call, in microseconds.
fn each<F>(parts: usize, mut call: F) -> f64
where
    F: FnMut(),
{
    let all = micros(|| (0..ROUNDS).for_each(|_| call()));
    all / (ROUNDS * parts) as f64
}

/// Granter under measurement, with its number of executors and the current time.
struct Bench {
    granter: grant::Granter,
    executors: usize,
    now: time::Monotonic,
}

impl Bench {
    fn new(executors: usize) -> Self {
        let now = time::Monotonic::ZERO;
        let granter = grant::Granter::recover(grant::Config::default(), 0, TERM, now, []);
        let mut bench = Self { granter, executors, now };
        bench.announce_all();
        for entry in 0..ENTRIES {
            let heartbeat = bench.heartbeat(entry);
            bench.granter.heartbeat(now, &heartbeat);
        }
        bench
    }

    fn announce_all(&mut self) {
        for number in 0..self.executors {
            self.granter.executor_announced(announcement(number));
        }
    }

    /// Creates an entry's heartbeat with its demand and all its holdings.
    fn heartbeat(&self, entry: usize) -> grant::Heartbeat {
        let slots = self.executors as u32 * SLOTS / 2 / ENTRIES as u32;
        let demand = vec![router::ServiceDemand { service: names::name("hull-register"), slots }];
        let held = (0..self.executors).filter(|number| number % ENTRIES == entry);
        let holding = |number| router::Holding {
            executor: names::executor(number),
            incarnation: INCARNATION,
            epoch: TERM << 32,
            slots: SLOTS / 2,
        };
        grant::Heartbeat {
            entry: names::entry(entry),
            incarnation: INCARNATION,
            region: names::name("tas-south"),
            zone: names::name("hobart-a"),
            sequence: 1,
            demand,
            holdings: held.map(holding).collect(),
            avoided: Vec::new(),
            draining: false,
        }
    }

    fn plan(&mut self) {
        self.granter.tick(self.now);
    }

    /// Commits changes until there are none, and returns them all.
    fn commit_all(&mut self) -> Vec<grant::GrantChange> {
        let mut grants = Vec::new();
        loop {
            let changes = self.granter.take_changes();
            if changes.is_empty() {
                return grants;
            }
            for change in &changes {
                self.granter.committed(change);
            }
            grants.extend(changes);
            self.plan();
        }
    }

    fn table(&mut self) {
        let table = self.granter.table(self.now, &names::entry(0), INCARNATION);
        hint::black_box(table);
    }
}

fn announcement(number: usize) -> grant::Announcement {
    grant::Announcement {
        name: names::executor(number),
        incarnation: INCARNATION,
        service: names::name("hull-register"),
        address: net::SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16)),
        region: names::name("tas-south"),
        zone: names::name("hobart-a"),
        slots: SLOTS,
        connections: 8 * SLOTS,
    }
}
