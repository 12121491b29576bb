use comfreymill_route::router::Policy;

use super::fleet::{DEADLINE_MICROS, MEAN_MICROS, OWN_REGION_MICROS, SLOTS, run};
use super::{Scenario, Tally, scenarios};
use crate::figure::Figure;

/// Default policy and the baselines.
pub const POLICIES: [Policy; 4] =
    [Policy::LeastLoaded, Policy::RoundRobin, Policy::Random, Policy::TwoChoices];

/// Runs every scenario with each policy, and returns the figures.
pub fn measure(policies: &[Policy], seed: u64) -> Vec<Figure> {
    let mut figures = Vec::new();
    for policy in policies.iter().copied() {
        let mut healthy = None;
        for scenario in scenarios::faults(seed) {
            let scenario = scenario.policy(policy);
            let tally = run(&scenario);
            let base = *healthy.get_or_insert(tally.latency_millis(99.0));
            figures.extend(fault_figures(&scenario, &tally, base));
        }
        for scenario in scenarios::loads(seed) {
            let scenario = scenario.policy(policy);
            figures.extend(load_figures(&scenario, &run(&scenario)));
        }
        let scenario = scenarios::all_lost(seed).policy(policy);
        let tally = run(&scenario);
        let ratio = tally.attempts as f64 / tally.requests.max(1) as f64;
        figures.push(figure(&scenario, "attempts per request", ratio, ""));
    }
    figures
}

fn figure(scenario: &Scenario, what: &str, value: f64, unit: &str) -> Figure {
    let name = format!("{}, {}: {what}", scenario.policy, scenario.name);
    Figure::new(name, value, unit, scenario.seed)
}

fn fault_figures(scenario: &Scenario, tally: &Tally, healthy_p99: f64) -> Vec<Figure> {
    let p99 = tally.latency_millis(99.0);
    let crossings = 100.0 * tally.crossings as f64 / tally.attempts.max(1) as f64;
    let refused = 100.0 * tally.refused as f64 / tally.requests.max(1) as f64;
    vec![
        figure(scenario, "p50", tally.latency_millis(50.0), "ms"),
        figure(scenario, "p99", p99, "ms"),
        figure(scenario, "p99 to healthy p99", p99 / healthy_p99, ""),
        figure(scenario, "errors", tally.error_percent(), "%"),
        figure(scenario, "refused", refused, "%"),
        figure(scenario, "over the link", crossings, "%"),
        figure(
            scenario,
            "one entry waits while slots idle",
            tally.longest_waste as f64 / 1e3,
            "ms",
        ),
        figure(scenario, "executors over their slots", tally.overruns as f64, ""),
        figure(scenario, "grant changes", tally.grant_changes as f64, ""),
    ]
}

fn load_figures(scenario: &Scenario, tally: &Tally) -> Vec<Figure> {
    let slots = scenario.executors.len() as f64 * f64::from(SLOTS);
    let counted = (scenario.length - DEADLINE_MICROS) as f64;
    let goodput = |micros: f64| {
        let possible = (slots * counted / micros).min(tally.requests as f64);
        100.0 * tally.in_time as f64 / possible
    };
    let held = MEAN_MICROS + 2.0 * OWN_REGION_MICROS as f64;
    let urgent = 100.0 * tally.urgent_in_time as f64 / tally.urgent.max(1) as f64;
    let usual = (tally.in_time - tally.urgent_in_time).max(1);
    let three = 100.0 * tally.in_time_of_three as f64 / usual as f64;
    vec![
        figure(scenario, "goodput of the slots' time", goodput(MEAN_MICROS), "%"),
        figure(scenario, "goodput with the network's time", goodput(held), "%"),
        figure(scenario, "p99", tally.latency_millis(99.0), "ms"),
        figure(scenario, "refusal p50", tally.refusal_millis(50.0), "ms"),
        figure(scenario, "refusal p99", tally.refusal_millis(99.0), "ms"),
        figure(scenario, "urgent in time", urgent, "%"),
        figure(scenario, "share of the team with 3 of 4", three, "%"),
        figure(scenario, "errors", tally.error_percent(), "%"),
        figure(scenario, "executors over their slots", tally.overruns as f64, ""),
    ]
}
