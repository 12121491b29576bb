//! A version of the configuration removes the route of an open job and adds one of another name for
//! the same host, prefix and service.

use std::thread;
use std::time::{Duration, Instant};

use super::{Outcome, ROUTE, labels};
use crate::bed::{Bed, CaseError, Route};
use crate::client;
use crate::executor::Executor;
use crate::record;

const JOB: &str = "5c0e7a21d94b36fa";
const LATER_JOB: &str = "5c0e7a21d94b36fb";
/// `finish_s` of the deployment.
const FINISH: Duration = Duration::from_secs(14);
/// Time for which a job may have nothing running while there is room.
const IDLE_LIMIT: Duration = Duration::from_secs(3);

pub(super) fn run(record: &record::Record, has_trouble: bool) -> Outcome {
    let mut bed = Bed::start(record, &ROUTE, labels)?;
    let spec = "{\"task_spec\":\"ms=2000 cpu=1800\",\"steps\":[{\"count\":2,\"cpu\":1800,\"mem_mb\":1024,\"estimate_ms\":2000},{\"count\":2,\"cpu\":1800,\"mem_mb\":1024,\"estimate_ms\":2000,\"depends_on\":[0]}]}";
    let caller = client::Client::new(record, bed.gateway(0), &ROUTE);
    if caller.submit(JOB, spec) != Some(200) {
        return Err(CaseError("the job is not accepted".to_owned()));
    }
    thread::sleep(Duration::from_millis(500));
    let next = if has_trouble {
        Route { name: "r-73d3zji", ..ROUTE }
    } else {
        Route { timeout_ms: 2_900, ..ROUTE }
    };
    bed.put(2, &[next])?;
    // A job that is submitted under the same path after the change.
    let spec = "{\"task_spec\":\"ms=500 cpu=1800\",\"steps\":[{\"count\":2,\"cpu\":1800,\"mem_mb\":1024,\"estimate_ms\":500}]}";
    caller.submit(LATER_JOB, spec);
    caller.wait_for(LATER_JOB, "completed", Duration::from_secs(5));
    thread::sleep(FINISH);
    let began = Instant::now();
    let mut is_idle = true;
    while began.elapsed() < IDLE_LIMIT + Duration::from_secs(1) {
        is_idle &= bed.executors.iter().all(Executor::is_idle);
        thread::sleep(Duration::from_millis(20));
    }
    let state = caller.state(JOB);
    bed.check_processes()?;
    let is_over = state.as_ref().is_some_and(|(_, state)| state == "completed");
    let breach = format!(
        "{} s after the last submission was done the job is shown as {state:?}, and nothing runs on any executor",
        FINISH.as_secs()
    );
    Ok((!is_over && is_idle).then_some(breach))
}
