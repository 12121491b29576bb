//! Prints the figures of the default routing policy and the baselines.
//!
//! Usage: `route_policy [SEED [default]]`; with `default`, the scenarios run with the
//! default policy only.
#![allow(clippy::print_stdout, reason = "printing is its purpose")]

use std::env;

use comfreymill_bench::route;
use comfreymill_route::router;

const DEFAULT_SEED: u64 = 5;

fn main() {
    let seed = env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SEED);
    let policies = match env::args().nth(2) {
        Some(text) if text == "default" => vec![router::Policy::default()],
        _ => route::POLICIES.to_vec(),
    };
    println!("seed {seed}");
    for figure in route::measure(&policies, seed) {
        println!("{figure}");
    }
    for figure in route::measure_decision_cost(seed) {
        println!("{figure}");
    }
}
