//! Prints the overhead of the prompt path over a direct connection.
#![allow(clippy::print_stdout, reason = "printing is its purpose")]

use comfreymill_bench::route;

const SEED: u64 = 1;

fn main() {
    for figure in route::measure_path_cost(SEED) {
        println!("{figure}");
    }
}
