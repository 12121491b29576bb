use std::time::{Duration, Instant};

use rand::RngExt as _;
use rand::SeedableRng as _;

use super::leader::Leader;
use super::load::Load;
use crate::figure::Figure;

const WAITING: [u64; 2] = [1_000, 10_000];
/// Number of runs that end on the full fleet, and so of tasks that have room.
const ROOMS: usize = 200;
const ROUNDS: u32 = 10;
/// Time between rounds; more than the scheduler waits between them.
const ROUND_PERIOD: Duration = Duration::from_millis(100);

/// Measures the time of placements on a nearly full fleet of `workers`, and of rounds in which one
/// of many waiting tasks has room.
pub fn cost(workers: u32, seed: u64) -> Vec<Figure> {
    let mut figures = Vec::new();
    for (load, waiting) in Load::ALL.into_iter().flat_map(|load| WAITING.map(|n| (load, n))) {
        let mut leader = full_leader(workers, load);
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        for _ in 0..ROOMS {
            let position = rng.random_range(0..leader.runs.len());
            leader.end(position);
        }
        for i in 0..waiting {
            leader.submit(load.step(i));
        }
        leader.advance(ROUND_PERIOD);
        let before = Instant::now();
        leader.place();
        let elapsed = before.elapsed();
        let placed = leader.start_all();
        let mut rounds = Duration::ZERO;
        for _ in 0..ROUNDS {
            let position = rng.random_range(0..leader.runs.len());
            leader.end(position);
            leader.advance(ROUND_PERIOD);
            let before = Instant::now();
            leader.place();
            rounds += before.elapsed();
            leader.start_all();
        }
        let prefix = format!("decisions.{workers}_workers.{}.{waiting}_waiting", load.name());
        let mut add = |name: &str, value: f64, unit| {
            figures.push(Figure::new(format!("{prefix}.{name}"), value, unit, seed));
        };
        add("placed", placed as f64, "");
        add("placement", elapsed.as_secs_f64() * 1e6 / placed.max(1) as f64, "us");
        add("round", rounds.as_secs_f64() * 1e3 / f64::from(ROUNDS), "ms");
    }
    figures
}

/// Returns the leader of a fleet on which a load uses all the room that there is for it.
fn full_leader(workers: u32, load: Load) -> Leader {
    let mut leader = Leader::new(workers);
    for step in load.filling(workers.into()) {
        leader.submit(step);
    }
    leader.place();
    leader.start_all();
    leader.advance(ROUND_PERIOD);
    leader.report();
    leader.place();
    leader.start_all();
    leader
}
