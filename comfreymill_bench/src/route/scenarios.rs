use super::{Behaviour, Scenario};

const FAULT_AT_MICROS: u64 = 6_000_000;

/// Returns the scenarios with faulty, cold or remote executors or uneven entries, the healthy
/// baseline first.
pub(super) fn faults(seed: u64) -> Vec<Scenario> {
    let slow = Behaviour::SlowFrom { at: FAULT_AT_MICROS, factor: 10.0 };
    let failing = Behaviour::FailingFrom { at: FAULT_AT_MICROS };
    let lost = Behaviour::LostFrom { at: FAULT_AT_MICROS };
    let cold = Behaviour::ColdFrom { at: FAULT_AT_MICROS, requests: 200, factor: 10.0 };
    vec![
        Scenario::new("healthy", seed),
        Scenario::new("one of 20 ten times slower", seed).first(1, slow),
        Scenario::new("one of 20 failing at once", seed).first(1, failing),
        Scenario::new("4 of 20 lost at once", seed).first(4, lost),
        Scenario::new("4 of 20 new and cold", seed).first(4, cold),
        Scenario::new("one far region", seed).remote_executors(20),
        Scenario::new("one entry takes half", seed)
            .load(0.8)
            .entry_weights(vec![7.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0]),
    ]
}

/// Returns the scenarios with different loads.
pub(super) fn loads(seed: u64) -> Vec<Scenario> {
    let loads = [0.5, 0.9, 1.5, 3.0];
    let name = |load: f64| format!("load {:.0}%", 100.0 * load);
    loads.iter().map(|load| Scenario::new(name(*load), seed).load(*load)).collect()
}

/// Returns the scenario in which all executors are lost.
pub(super) fn all_lost(seed: u64) -> Scenario {
    let lost = Behaviour::LostFrom { at: FAULT_AT_MICROS / 2 };
    Scenario::new("everything failing", seed).first(20, lost)
}
