//! Callers that submit jobs and an operator that changes routes, with checks of what they see.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use super::standin;

/// Time within which a configuration is in force after its acknowledgement.
const CONFIG_APPLY: Duration = Duration::from_millis(2_500);
/// Time within which the jobs are completed that are left at the end.
const FINISH_TIMEOUT: Duration = Duration::from_secs(90);
const PAUSE: Duration = Duration::from_millis(250);
/// Share of the jobs whose tasks are long, in percent.
const LONG_PERCENT: u64 = 35;
const SHORT_MS: u64 = 800;
/// Number of attempts to submit a job.
const SUBMISSIONS: usize = 20;
/// Number of attempts to set routes, and time within which they are made.
const CHANGES: usize = 60;
const CHANGE_TIMEOUT: Duration = Duration::from_secs(60);

/// What broke a rule, each with the name of the rule first.
#[derive(Clone, Debug, Default)]
pub(super) struct Faults(Arc<Mutex<Vec<String>>>);

impl Faults {
    pub(super) fn note(&self, fault: String) {
        self.0.lock().expect("no thread panics").push(fault);
    }

    pub(super) fn get(&self) -> Vec<String> {
        self.0.lock().expect("no thread panics").clone()
    }
}

/// Which jobs callers submit, and what they expect.
#[derive(Clone, Copy, Debug)]
pub(super) struct Calls {
    /// Number of threads that submit jobs.
    pub(super) threads: u64,
    /// Work of a long task.
    pub(super) long_ms: u64,
    /// Whether a submission without an answer is a fault.
    pub(super) is_answer_owed: bool,
}

/// Threads that submit jobs at random gateways.
pub(super) struct Callers {
    accepted: Arc<Mutex<Vec<u64>>>,
    is_over: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Callers {
    pub(super) fn start(seed: u64, calls: Calls, gateways: &[SocketAddr], faults: &Faults) -> Self {
        let accepted: Arc<Mutex<Vec<u64>>> = Arc::default();
        let is_over = Arc::new(AtomicBool::new(false));
        let next = Arc::new(AtomicU64::new((seed << 32) + 1));
        let start = |number: u64| {
            let (next, gateways, faults) = (Arc::clone(&next), gateways.to_vec(), faults.clone());
            let (accepted, is_over) = (Arc::clone(&accepted), Arc::clone(&is_over));
            let mut rng = StdRng::seed_from_u64(seed << 8 | number);
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let job = next.fetch_add(1, Ordering::Relaxed);
                    let is_long = rng.random_range(0..100) < LONG_PERCENT;
                    let work_ms = if is_long { calls.long_ms } else { SHORT_MS };
                    // A job that got no clear answer is sent again, as callers do.
                    for _ in 0..SUBMISSIONS {
                        let gateway = gateways[rng.random_range(0..gateways.len())];
                        match standin::Caller::new(gateway).submit_work(job, 3, work_ms) {
                            Some(200) => {
                                accepted.lock().expect("no thread panics").push(job);
                                break;
                            }
                            None if calls.is_answer_owed => {
                                faults.note(format!("LOST a submission of {job:x}: no answer"));
                            }
                            _ => {}
                        }
                        thread::sleep(PAUSE);
                    }
                    thread::sleep(PAUSE);
                }
            })
        };
        let threads = (0..calls.threads).map(start).collect();
        Self { accepted, is_over, threads }
    }

    /// Ends the threads and returns the jobs that were accepted.
    pub(super) fn stop(self) -> Vec<u64> {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("no thread panics");
        }
        self.accepted.lock().expect("no thread panics").clone()
    }
}

/// Thread that changes the routes every few seconds, and checks that they are read back and, at the
/// gateways that it is given, in force.
pub(super) struct Operator {
    is_over: Arc<AtomicBool>,
    thread: thread::JoinHandle<u64>,
}

impl Operator {
    pub(super) fn start(
        controls: &standin::Controls,
        gateways: &[SocketAddr],
        faults: &Faults,
    ) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let thread = {
            let (controls, gateways, faults) =
                (controls.clone(), gateways.to_vec(), faults.clone());
            let is_over = Arc::clone(&is_over);
            thread::spawn(move || {
                let mut version = 0;
                while !is_over.load(Ordering::Relaxed) {
                    version += 1;
                    change_routes(version, &controls, &gateways, &faults);
                }
                version
            })
        };
        Self { is_over, thread }
    }

    /// Ends the thread and returns the last version that was sent.
    pub(super) fn stop(self) -> u64 {
        self.is_over.store(true, Ordering::Relaxed);
        self.thread.join().expect("no thread panics")
    }
}

/// Sets the routes of a version and checks that they are in force.
fn change_routes(
    version: u64,
    controls: &standin::Controls,
    gateways: &[SocketAddr],
    faults: &Faults,
) {
    if !put_version(version, controls) {
        faults.note(format!("CONFIG version {version} was never acknowledged"));
        return;
    }
    let acknowledged_at = Instant::now();
    note_older_versions(version, controls, faults);
    thread::sleep(CONFIG_APPLY.saturating_sub(acknowledged_at.elapsed()));
    let (added, removed) = (added_prefix(version), added_prefix(version - 1));
    for gateway in gateways {
        let caller = standin::Caller::new(*gateway);
        if caller.count_waiting(&added) == Some(404) {
            faults.note(format!("CONFIG version {version}: {added} is not served"));
        }
        if version > 1 && caller.count_waiting(&removed) == Some(200) {
            faults.note(format!("CONFIG version {version}: {removed} is still served"));
        }
    }
}

/// Sets the routes of a version; returns whether they were acknowledged.
pub(super) fn put_version(version: u64, controls: &standin::Controls) -> bool {
    let base = ("jobs".to_owned(), "/jobs/".to_owned());
    let added = (format!("r-{version}"), added_prefix(version));
    let routes = [base, added];
    let began = Instant::now();
    let mut attempts = (0..CHANGES).take_while(|_| began.elapsed() < CHANGE_TIMEOUT);
    attempts.any(|attempt| {
        let controls = controls.get();
        let control = controls[attempt % controls.len()];
        let is_acknowledged = standin::put_route_table(control, version, &routes);
        if !is_acknowledged {
            thread::sleep(PAUSE);
        }
        is_acknowledged
    })
}

/// Returns the prefix of the route that a version adds and the next one removes.
pub(super) fn added_prefix(version: u64) -> String {
    format!("/r-{version}/")
}

/// Reads the routes at each scheduler; notes versions older than the one that was acknowledged.
/// Returns whether that one was read at least once.
pub(super) fn note_older_versions(
    version: u64,
    controls: &standin::Controls,
    faults: &Faults,
) -> bool {
    let controls = controls.get();
    let read: Vec<u64> =
        controls.iter().filter_map(|control| standin::read_version(*control)).collect();
    if let Some(older) = read.iter().find(|read| **read < version) {
        faults.note(format!("CONFIG version {older} was read after {version}"));
    }
    read.contains(&version)
}

/// Waits until all jobs are completed; returns those that are not known, failed or never completed.
pub(super) fn unfinished_jobs(gateways: &[SocketAddr], accepted: &[u64]) -> Vec<String> {
    let began = Instant::now();
    let mut open: Vec<u64> = accepted.to_vec();
    let mut faults = Vec::new();
    let mut gateways = gateways.iter().cycle();
    while !open.is_empty() && began.elapsed() < FINISH_TIMEOUT {
        open.retain(|job| {
            let gateway = gateways.next().expect("there are gateways");
            match standin::Caller::new(*gateway).show(*job) {
                Some((200, state)) if state == "completed" => false,
                Some((200, state)) if state == "failed" => {
                    faults.push(format!("LOST {job:x} is shown as failed"));
                    false
                }
                Some((410, _)) => {
                    faults.push(format!("LOST {job:x} is not known"));
                    false
                }
                _ => true,
            }
        });
        thread::sleep(PAUSE);
    }
    faults.extend(open.into_iter().map(|job| format!("LOST {job:x} is not completed")));
    faults
}

/// Keeps the faults and the logs of a play.
pub(super) fn keep(kept: &Path, logs: &Path, faults: &[String]) {
    fs::create_dir_all(kept).expect("a folder for the logs");
    fs::write(kept.join("faults.txt"), faults.join("\n")).expect("faults are written");
    for file in fs::read_dir(logs).expect("the folder of the logs").flatten() {
        if file.path().extension().is_some_and(|extension| extension == "log") {
            fs::copy(file.path(), kept.join(file.file_name())).expect("the log is copied");
        }
    }
}

/// Returns the number of faults of a rule.
pub(super) fn count(rule: &str, faults: &[String]) -> usize {
    faults.iter().filter(|fault| fault.starts_with(rule)).count()
}

/// Returns the seeds of a range in the text of a setting, such as `1..50`.
pub(super) fn seeds(range: &str) -> std::ops::RangeInclusive<u64> {
    let (first, last) = range.split_once("..").expect("a range of seeds");
    let number = |text: &str| text.parse::<u64>().expect("a seed");
    number(first)..=number(last)
}
