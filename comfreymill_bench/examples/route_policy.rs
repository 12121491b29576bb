//! Prints the figures of the routing policy and of its baselines.
#![allow(clippy::print_stdout, reason = "printing is its purpose")]

use std::env;

use comfreymill_bench::route;

const DEFAULT_SEED: u64 = 5;

fn main() {
    let seed = env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SEED);
    println!("seed {seed}");
    for figure in route::measure(seed) {
        println!("{figure}");
    }
    for figure in route::measure_decision_cost(seed) {
        println!("{figure}");
    }
}
