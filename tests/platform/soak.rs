//! Soak: executors of one zone start again under their names and are cut off soon after, in series,
//! while long tasks run, routes change and leaders are killed.
//!
//! The system runs as processes with real sockets, disks and clocks. The seed decides on the
//! disturbances; what the processes make of them differs from run to run. One seed runs with the
//! other tests; `COMFREYMILL_SOAK=1..50` runs those, and `COMFREYMILL_SOAK_KEEP` keeps the logs.

use std::env;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use super::group_bed::GroupBed;
use super::{load, standin};

const SCHEDULERS: usize = 5;
const GATEWAYS: usize = 8;
const EXECUTORS: usize = 48;
const ZONES: [&str; 3] = ["cluj-a", "iasi-b", "buc-a"];
/// Longest lease that executors grant, which is longer than the leases in the settings.
const MAX_LEASE: Duration = Duration::from_secs(10);
/// Number of rounds of disturbances.
const ROUNDS: usize = 2;
const CALLS: load::Calls = load::Calls { threads: 8, long_ms: 9_600, is_answer_owed: true };

#[test]
fn nothing_runs_twice_or_is_lost_when_restarted_executors_are_cut_off() {
    let seeds = env::var("COMFREYMILL_SOAK").unwrap_or_else(|_| "1..1".to_owned());
    let faults: Vec<String> = load::seeds(&seeds).flat_map(run).collect();
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Runs the soak with one seed; returns what broke a rule.
fn run(seed: u64) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut bed = GroupBed::with_settings(SCHEDULERS, "max_lease: 10s\n");
    while bed.members(bed.wait_for_leader()).len() < SCHEDULERS {
        let leader = bed.wait_for_leader();
        let member = bed.add();
        bed.wait("a member more", || bed.members(leader).contains(&member));
    }
    let gateways: Vec<SocketAddr> = (0..GATEWAYS).map(|_| bed.add_gateway()).collect();
    let controls: Vec<SocketAddr> = (0..SCHEDULERS).map(|member| bed.control(member)).collect();
    let controls = standin::Controls::from(controls);
    let faults = load::Faults::default();
    let operator = load::Operator::start(&controls, &gateways, &faults);
    bed.wait("the gateways to serve", || {
        let mut callers = gateways.iter().map(|gateway| standin::Caller::new(*gateway));
        callers.all(|caller| caller.count_waiting("/jobs/") == Some(200))
    });
    let ledger = Arc::new(standin::Ledger::new());
    let executors: Vec<standin::Executor> = (0..EXECUTORS)
        .map(|number| {
            let nearest = controls.rotated(number);
            let address = IpAddr::V4(bed.address(number % SCHEDULERS));
            let (name, zone) = (format!("i-{number}"), ZONES[number % ZONES.len()]);
            standin::Executor::start(&name, zone, address, MAX_LEASE, nearest, &ledger)
        })
        .collect();
    let callers = load::Callers::start(seed, CALLS, &gateways, &faults);

    thread::sleep(Duration::from_secs(4));
    for _ in 0..ROUNDS {
        disturb(&mut rng, &mut bed, &executors);
    }
    let accepted = callers.stop();
    operator.stop();
    let mut faults = faults.get();
    faults.extend(load::unfinished_jobs(&gateways, &accepted));
    faults.extend(ledger.repeated().into_iter().map(|task| format!("TWICE {task}")));
    let count = |rule: &str| load::count(rule, &faults);
    let (twice, config, lost) = (count("TWICE"), count("CONFIG"), count("LOST"));
    let (jobs, runs) = (accepted.len(), ledger.count());
    eprintln!(
        "soak: seed {seed}, {jobs} jobs, {runs} runs: TWICE {twice}, CONFIG {config}, LOST {lost}"
    );
    if let Ok(folder) = env::var("COMFREYMILL_SOAK_KEEP") {
        load::keep(&Path::new(&folder).join(seed.to_string()), bed.folder(), &faults);
    }
    faults.into_iter().map(|fault| format!("seed {seed}: {fault}")).collect()
}

/// Restarts the executors of a zone, kills the leader in most rounds, and cuts the executors off.
fn disturb(rng: &mut StdRng, bed: &mut GroupBed, executors: &[standin::Executor]) {
    let mut wait = |from_ms: u64, to_ms: u64| {
        thread::sleep(Duration::from_millis(rng.random_range(from_ms..to_ms)));
    };
    let zone = ZONES[0];
    let of_zone = || executors.iter().filter(|executor| executor.get_zone() == zone);
    of_zone().for_each(|executor| executor.restart(Duration::from_millis(600)));
    wait(1_500, 2_500);
    let leader = bed.wait_for_leader();
    bed.kill(leader);
    wait(200, 900);
    of_zone().for_each(|executor| executor.cut_off(Duration::from_secs(9)));
    wait(500, 2_000);
    bed.run(leader);
    wait(13_000, 16_000);
}
