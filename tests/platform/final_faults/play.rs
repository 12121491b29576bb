use std::env;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::final_fault::FinalFault;
use super::fleet::Fleet;
use super::seeding::Mode;
use crate::platform::{load, standin};

const EXECUTORS: usize = 24;
const ZONES: [&str; 3] = ["cluj-a", "iasi-b", "buc-a"];
const MAX_LEASE: Duration = Duration::from_secs(10);
const CALLS: load::Calls = load::Calls { threads: 4, long_ms: 3_000, is_answer_owed: false };
/// Time within which every gateway serves again after the machines are back.
const RECOVERY: Duration = Duration::from_secs(12);
const PAUSE: Duration = Duration::from_millis(250);

/// A system with callers, an operator and executors.
pub(super) struct Play {
    seed: u64,
    mode: Mode,
    pub(super) fleet: Fleet,
    faults: load::Faults,
    operator: load::Operator,
    callers: load::Callers,
    ledger: Arc<standin::Ledger>,
}

impl Play {
    pub(super) fn start(seed: u64, mode: Mode) -> Self {
        let fleet = Fleet::start(seed, mode);
        let faults = load::Faults::default();
        let operator = load::Operator::start(fleet.controls(), &[], &faults);
        fleet.bed().wait("the gateways to serve", || {
            let mut callers = fleet.gateways().iter().map(|gateway| standin::Caller::new(*gateway));
            callers.all(|caller| caller.count_waiting("/jobs/") == Some(200))
        });
        let ledger = Arc::new(standin::Ledger::new());
        for number in 0..EXECUTORS {
            let (name, zone) = (format!("i-{number}"), ZONES[number % ZONES.len()]);
            let address = fleet.bed().address(number % ZONES.len()).into();
            let controls = fleet.controls().rotated(number);
            standin::Executor::start(&name, zone, address, MAX_LEASE, controls, &ledger);
        }
        let callers = load::Callers::start(seed, CALLS, fleet.gateways(), &faults);
        Self { seed, mode, fleet, faults, operator, callers, ledger }
    }

    /// Causes the final fault right after routes are acknowledged, once all machines have caught up;
    /// returns what broke a rule.
    pub(super) fn end(self, fault: FinalFault) -> Vec<String> {
        let Self { seed, mode, mut fleet, faults, operator, callers, ledger } = self;
        let version = operator.stop() + 1;
        fleet.catch_up();
        if load::put_version(version, fleet.controls()) {
            fleet.end(fault);
            check_recovery(version, &mut fleet, &faults);
        } else {
            faults.note(format!("CONFIG version {version} was never acknowledged"));
        }
        let voters = fleet.wait_for_voters(RECOVERY);
        let accepted = callers.stop();
        let mut unfinished = load::unfinished_jobs(fleet.gateways(), &accepted);
        load::note_older_versions(version, fleet.controls(), &faults);

        let mut faults = faults.get();
        faults.append(&mut unfinished);
        faults.extend(ledger.repeated().into_iter().map(|task| format!("TWICE {task}")));
        let count = |rule: &str| load::count(rule, &faults);
        let (config, lost) = (count("CONFIG"), count("LOST"));
        let (recover, twice) = (count("RECOVER"), count("TWICE"));
        let (jobs, runs) = (accepted.len(), ledger.count());
        eprintln!(
            "final faults: seed {seed}, {mode:?}, {fault:?}, {jobs} jobs, {runs} runs, {voters} voters: CONFIG {config}, LOST {lost}, RECOVER {recover}, TWICE {twice}"
        );
        if let Ok(folder) = env::var("COMFREYMILL_SOAK_KEEP") {
            let kept = Path::new(&folder).join(format!("{mode:?}-{fault:?}-{seed}"));
            load::keep(&kept, fleet.logs(), &faults);
        }
        faults.into_iter().map(|broken| format!("seed {seed}, {mode:?}: {broken}")).collect()
    }
}

/// Notes whether gateways or routes are not back in time after the final fault.
fn check_recovery(version: u64, fleet: &mut Fleet, faults: &load::Faults) {
    let back_at = Instant::now();
    let added = load::added_prefix(version);
    let mut is_read = false;
    let answers = loop {
        is_read |= load::note_older_versions(version, fleet.controls(), faults);
        let callers = fleet.gateways().iter().map(|gateway| standin::Caller::new(*gateway));
        let answers: Vec<Option<u16>> =
            callers.map(|caller| caller.count_waiting(&added)).collect();
        let is_back = is_read && answers.iter().all(|answer| *answer == Some(200));
        if is_back || back_at.elapsed() >= RECOVERY {
            break answers;
        }
        thread::sleep(PAUSE);
    };
    let took = back_at.elapsed();
    fleet.note(format_args!("after {took:.1?}: {answers:?}, read {is_read}"));
    if !is_read {
        faults.note(format!("CONFIG version {version} is not read back"));
    }
    for (gateway, answer) in answers.iter().enumerate() {
        match answer {
            Some(200) => {}
            Some(404) => {
                faults
                    .note(format!("CONFIG version {version}: {added} is not served by {gateway}"));
            }
            _ => faults.note(format!("RECOVER gateway {gateway} answers {answer:?}")),
        }
    }
}
