use std::io;
use std::thread;
use std::time::Duration;

use super::{Verdict, start_executors, wait};
use crate::fleet::Deployment;
use crate::record::Record;
use crate::wire;
use crate::worker::{Executor, Plan};

const EXECUTORS: u8 = 3;
/// Sequence number of the other writer's heartbeats, which counts by itself.
const OTHER_SEQUENCE: u64 = 500;
/// `finish_s` of the small deployments, and the 3 s that the rule adds.
const FINISH: Duration = Duration::from_secs(14 + 3);
const JOBS: u8 = 3;

/// Another writer sends heartbeats that name a service which no configuration has; the executors' own
/// ones hold, and jobs must run.
pub(super) fn run(has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    let mut deployment = Deployment::prepare(3, record)?;
    if !deployment.begin()? {
        return Ok(Verdict::NotRun("no configuration is in force".to_owned()));
    }
    let executors = start_executors(&deployment, EXECUTORS, 16_000, record)?;
    thread::sleep(Duration::from_secs(4));
    if has_trouble {
        for one in &executors {
            let status = send_odd(&deployment, one);
            record.add(&format!("another writer PUT {}: {status}", one.get_plan().id));
        }
    }
    thread::sleep(Duration::from_secs(1));
    let body = r#"{"task_spec":"cpu=500 ms=300","steps":[{"count":2,"cpu":500,"mem_mb":64,"estimate_ms":300}]}"#;
    let paths = (1..=JOBS).map(|number| format!("/search/{number:015x}a"));
    let paths: Vec<String> = paths.collect();
    if !paths.iter().all(|path| deployment.submit(path, body)) {
        return Ok(Verdict::NotRun("a job was not accepted".to_owned()));
    }
    record.add("the traffic ends");
    let is_done = wait(FINISH, || paths.iter().all(|path| deployment.state(path) == "completed"));
    let started: usize = executors.iter().map(|one| one.started().len()).sum();
    let used: u64 = executors.iter().map(Executor::used_cpu).sum();
    let text = format!(
        "{started} tasks of {JOBS} jobs have begun within {} s; {used} thousandths of a core are in use",
        FINISH.as_secs()
    );
    Ok(if is_done {
        Verdict::Held(text)
    } else if started == 0 {
        Verdict::Broken(text)
    } else {
        Verdict::NotRun(text)
    })
}

/// Sends a heartbeat like an executor's own, but for the service and the count.
fn send_odd(deployment: &Deployment, one: &Executor) -> u16 {
    let Plan { id, address, zone, cpu, .. } = one.get_plan();
    let born = one.born_unix_ms();
    let body = format!(
        r#"{{"service":"elsewhere","address":"{address}","zone":"{zone}","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"capacity":{{"cpu":{cpu},"mem_mb":64000,"gpu":0}},"labels":["a","r1-1"],"clock_ms":4000,"sequence":{OTHER_SEQUENCE},"born":{born}}}"#
    );
    let path = format!("/api/executors/{id}");
    let target = ("PUT", path.as_str(), "control");
    let replies = deployment.control().into_iter().map(|address| {
        wire::call(address, target, &body, Duration::from_secs(1)).map_or(0, |reply| reply.status)
    });
    let mut statuses = replies.skip_while(|status| *status != 200);
    statuses.next().unwrap_or_default()
}
