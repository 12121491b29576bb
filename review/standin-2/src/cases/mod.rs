//! Cases: each brings one disruption about and checks one rule by what callers and executors see.

mod fillers;
mod founder;
mod odd_service;

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Deployment, SERVICE};
use crate::record::Record;
use crate::worker::{Executor, Plan};

/// Interval between looks at what a case waits for.
const LOOK_PERIOD: Duration = Duration::from_millis(200);

/// Outcome of a case.
#[derive(Clone, Debug)]
pub(crate) enum Verdict {
    /// The rule held.
    Held(String),
    /// The rule was broken.
    Broken(String),
    /// The case could not run.
    NotRun(String),
}

/// Runs the case of a name.
pub(crate) fn run(case: &str, has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    match case {
        "fillers" => fillers::run(has_trouble, record),
        "founder" => founder::run(has_trouble, record),
        "odd-service" => odd_service::run(has_trouble, record),
        _ => Ok(Verdict::NotRun(format!("there is no case {case}"))),
    }
}

/// Starts `count` executors of `cpu` thousandths of a core each.
fn start_executors(
    deployment: &Deployment,
    count: u8,
    cpu: u64,
    record: &Record,
) -> io::Result<Vec<Executor>> {
    let plan = |number: u8| {
        Ok::<_, io::Error>(Plan {
            id: format!("i-{number}"),
            address: deployment.executor_address(number)?,
            service: SERVICE.to_owned(),
            zone: "south-a".to_owned(),
            cpu,
            longest_lease: Duration::from_secs(6),
            control: deployment.control(),
        })
    };
    (1..=count).map(|number| Executor::start(plan(number)?, record)).collect()
}

/// Waits until a condition is met; returns whether it was within `limit`.
fn wait<F>(limit: Duration, mut is_met: F) -> bool
where
    F: FnMut() -> bool,
{
    let began = Instant::now();
    while !is_met() {
        if began.elapsed() >= limit {
            return false;
        }
        thread::sleep(LOOK_PERIOD);
    }
    true
}
