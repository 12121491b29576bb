use std::io;
use std::thread;
use std::time::Duration;

use super::{Verdict, start_executors, wait};
use crate::fleet::Deployment;
use crate::record::Record;

/// All machines start within this time of each other.
const START_SPREAD: Duration = Duration::from_millis(300);
/// Time after its start at which the process is killed, and for which it is down.
const BEFORE_KILL: Duration = Duration::from_millis(150);
const DOWN: Duration = Duration::from_millis(500);
/// `recovery_s` of the small deployments is 12; the operator goes on for far longer.
const PATIENCE: Duration = Duration::from_secs(45);
const PATH: &str = "/search/00000000000000da";

/// One process of a seed is killed while the other machines are still starting, and comes back; the
/// system must serve.
pub(super) fn run(has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    let mut deployment = Deployment::prepare(5, record)?;
    deployment.start_scheduler(2)?;
    thread::sleep(BEFORE_KILL);
    if has_trouble {
        deployment.kill_scheduler(2)?;
    }
    thread::sleep(START_SPREAD - BEFORE_KILL);
    for number in [1, 3, 4, 5] {
        deployment.start_scheduler(number)?;
    }
    deployment.start_gateway()?;
    if has_trouble {
        thread::sleep(DOWN);
        deployment.start_scheduler(2)?;
    }
    let is_configured = deployment.configure(PATIENCE);
    let _executors = start_executors(&deployment, 3, 16_000, record)?;
    let body = r#"{"task_spec":"cpu=500 ms=300","steps":[{"count":2,"cpu":500,"mem_mb":64,"estimate_ms":300}]}"#;
    let is_accepted = deployment.submit(PATH, body);
    let is_completed =
        is_accepted && wait(Duration::from_secs(15), || deployment.state(PATH) == "completed");
    let text = format!(
        "all machines run; configuration acknowledged: {is_configured}, job accepted: {is_accepted}, completed: {is_completed}"
    );
    Ok(match (is_configured, is_accepted) {
        (true, true) if is_completed => Verdict::Held(text),
        (false, false) => Verdict::Broken(text),
        _ => Verdict::NotRun(text),
    })
}
