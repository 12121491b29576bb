use std::io;
use std::thread;
use std::time::Duration;

use super::{Verdict, start_executors, wait};
use crate::fleet::Deployment;
use crate::record::Record;
use crate::worker::Executor;

const EXECUTORS: u8 = 4;
const CPU: u64 = 16_000;
/// Upper bound on the tail of the tasks that serve.
const TARGET_MS: u64 = 100;
/// Tail when few users come, and when many do; both are below the bound.
const QUIET_MS: u64 = 40;
const BUSY_MS: u64 = 76;
/// `finish_s` of the small deployments, and the 3 s that the rule adds.
const FINISH: Duration = Duration::from_secs(14 + 3);
const JOBS: u8 = 3;

/// Tasks that serve have many users, and stay within their bound; jobs that fill beside them must run.
pub(super) fn run(has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    let mut deployment = Deployment::prepare(3, record)?;
    if !deployment.begin()? {
        return Ok(Verdict::NotRun("no configuration is in force".to_owned()));
    }
    let executors = start_executors(&deployment, EXECUTORS, CPU, record)?;
    let tail_ms = if has_trouble { BUSY_MS } else { QUIET_MS };
    executors.iter().for_each(|one| one.set_tail_ms(tail_ms));
    record.add(&format!("tails are at {tail_ms} ms, the bound is {TARGET_MS} ms"));
    let serving = format!(
        r#"{{"task_spec":"cpu=2000 serves","steps":[{{"count":{EXECUTORS},"cpu":2000,"mem_mb":512,"estimate_ms":400,"long_running":true,"anti_affinity":1,"image":"watch","target_ms":{TARGET_MS}}}]}}"#
    );
    let is_serving = deployment.submit("/search/00000000000000fa", &serving)
        && wait(Duration::from_secs(10), || executors.iter().all(|one| one.used_cpu() > 0));
    if !is_serving {
        return Ok(Verdict::NotRun("the tasks that serve do not run".to_owned()));
    }
    thread::sleep(Duration::from_secs(4));
    let filling = r#"{"task_spec":"cpu=0 ms=1000","steps":[{"count":2,"cpu":2000,"mem_mb":256,"estimate_ms":1000,"fills":true,"image":"batch"}]}"#;
    let paths = (1..=JOBS).map(|number| format!("/batch/{number:015x}a"));
    let paths: Vec<String> = paths.collect();
    if !paths.iter().all(|path| deployment.submit(path, filling)) {
        return Ok(Verdict::NotRun("a job was not accepted".to_owned()));
    }
    record.add("the traffic ends");
    let is_done = wait(FINISH, || paths.iter().all(|path| deployment.state(path) == "completed"));
    let used: u64 = executors.iter().map(Executor::used_cpu).sum();
    let used_percent = used * 100 / (CPU * u64::from(EXECUTORS));
    let started = executors.iter().flat_map(Executor::started);
    let started = started.filter(|one| !one.task.starts_with("00000000000000fa")).count();
    let text = format!(
        "{started} tasks of the {JOBS} jobs have begun within {} s; {used_percent}% of the capacity is in use",
        FINISH.as_secs()
    );
    Ok(if is_done {
        Verdict::Held(text)
    } else if started == 0 && used_percent < 50 {
        Verdict::Broken(text)
    } else {
        Verdict::NotRun(text)
    })
}
