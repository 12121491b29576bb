use comfreymill_batch::config;

use super::{Plan, Site, Trial};
use crate::figure::Figure;

/// Measures every policy over the same seeded sequence of events.
pub fn policy(site: Site, seed: u64) -> Vec<Figure> {
    policies(site, &config::Policy::ALL, seed)
}

/// Measures the given policies over the same seeded sequence of events.
pub fn policies(site: Site, policies: &[config::Policy], seed: u64) -> Vec<Figure> {
    let plan = Plan::new(site, seed);
    let mut figures = Vec::new();
    for policy in policies.iter().copied() {
        let measures = Trial::new(site, policy, &plan, seed).run();
        figures.extend(measures.figures(&format!("batch.{site}.{policy}"), seed));
    }
    figures
}
