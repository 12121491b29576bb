//! An executor is restarted as planned under its id while a follower is frozen, to which it sent its
//! DELETE first. The follower wakes and passes the old DELETE on.

use std::thread;
use std::time::{Duration, Instant};

use super::{Outcome, ROUTE};
use crate::bed::{Bed, CaseError};
use crate::client;
use crate::executor::Executor;
use crate::record;

const JOB: &str = "5c0e7a21d94b36fa";
/// Time for which the executor serves on after its draining was acknowledged.
const DRAIN: Duration = Duration::from_millis(2_500);
/// Time for which the follower is frozen.
const FREEZE: Duration = Duration::from_millis(7_000);
const FINISH: Duration = Duration::from_secs(14);
const IDLE_LIMIT: Duration = Duration::from_secs(3);

pub(super) fn run(record: &record::Record, has_trouble: bool) -> Outcome {
    // Executor 0 is the only one of its kind.
    let labels = |number: usize| {
        let kind = if number == 0 { "b" } else { "a" };
        vec![kind.to_owned(), format!("r1-{}", number / 4)]
    };
    let mut bed = Bed::start(record, &ROUTE, labels)?;
    let follower = bed.follower()?;
    let began = Instant::now();
    if has_trouble {
        bed.signal_scheduler(follower, "STOP")?;
    }
    let controls = bed.controls();
    bed.executors[0].leave(controls[follower], DRAIN);
    thread::sleep(Duration::from_millis(500));
    let others: Vec<_> =
        (1..controls.len()).map(|n| controls[(follower + n) % controls.len()]).collect();
    bed.executors[0].restart(&others)?;
    thread::sleep(FREEZE.saturating_sub(began.elapsed()));
    if has_trouble {
        bed.signal_scheduler(follower, "CONT")?;
    }
    thread::sleep(Duration::from_secs(5));
    let spec = "{\"task_spec\":\"ms=1000 cpu=1800\",\"steps\":[{\"count\":2,\"cpu\":1800,\"mem_mb\":1024,\"estimate_ms\":1000,\"required_label\":\"b\"}]}";
    let caller = client::Client::new(record, bed.gateway(0), &ROUTE);
    if caller.submit(JOB, spec) != Some(200) {
        return Err(CaseError("the job is not accepted".to_owned()));
    }
    thread::sleep(FINISH);
    let watched = Instant::now();
    let mut is_idle = true;
    while watched.elapsed() < IDLE_LIMIT + Duration::from_secs(1) {
        is_idle &= bed.executors.iter().all(Executor::is_idle);
        thread::sleep(Duration::from_millis(20));
    }
    let state = caller.state(JOB);
    bed.check_processes()?;
    let is_over = state.as_ref().is_some_and(|(_, state)| state == "completed");
    let breach =
        format!("the job is shown as {state:?}, and nothing runs although its executor is up");
    Ok((!is_over && is_idle).then_some(breach))
}
