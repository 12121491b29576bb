//! Prints the figures of the batch policies or the cost of batch decisions.
//!
//! Usage: `batch_policy SITE[/POLICY] SEED...`, where SITE is trust, licenta, target or cost.

use std::env;
use std::io;
use std::io::Write;

use comfreymill_bench::batch;

const FLEET_SIZES: [usize; 3] = [100, 910, 4_000];

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let site = arguments.first().map_or("trust", String::as_str);
    let seeds: Vec<u64> =
        arguments.iter().skip(1).map(|text| text.parse()).collect::<Result<_, _>>()?;
    let seeds = if seeds.is_empty() { vec![1] } else { seeds };
    let mut out = io::stdout();
    for seed in seeds {
        let figures = if site == "cost" {
            FLEET_SIZES.into_iter().flat_map(|workers| batch::cost(workers, seed)).collect()
        } else {
            match site.split_once('/') {
                Some((site, policy)) => batch::policies(site.parse()?, &[policy.parse()?], seed),
                None => batch::policy(site.parse()?, seed),
            }
        };
        for figure in figures {
            writeln!(out, "{figure} seed {}", figure.seed)?;
        }
    }
    Ok(())
}
