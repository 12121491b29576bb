use std::io;
use std::thread;
use std::time::Duration;

use super::{Verdict, start_executors, wait};
use crate::fleet::Deployment;
use crate::record::Record;
use crate::worker::Executor;

const EXECUTORS: u8 = 8;
/// Time for which an executor is down.
const DOWN: Duration = Duration::from_millis(1_500);
/// Time for which a run goes on before its executor crashes.
const BEFORE_CRASH: Duration = Duration::from_secs(3);
const CRASHES: usize = 5;
/// Time within which a run begins that could begin.
const START_LIMIT: Duration = Duration::from_secs(6);
const JOB: &str = "00000000000000c1";
const PATH: &str = "/batch/00000000000000c1";

/// One executor at a time crashes and comes back; a long task that could be done loses its runs, and
/// its job must not be shown as failed.
pub(super) fn run(has_trouble: bool, record: &Record) -> io::Result<Verdict> {
    let mut deployment = Deployment::prepare(3, record)?;
    if !deployment.begin()? {
        return Ok(Verdict::NotRun("no configuration is in force".to_owned()));
    }
    let mut executors = start_executors(&deployment, EXECUTORS, 16_000, record)?;
    // The executors have been up for long when the first one crashes.
    thread::sleep(Duration::from_secs(12));
    let body = r#"{"task_spec":"cpu=1800 ms=25000 saves","steps":[{"count":1,"cpu":1800,"mem_mb":512,"estimate_ms":25000,"checkpointing":true}]}"#;
    if !deployment.submit(PATH, body) {
        return Ok(Verdict::NotRun("the job was not accepted".to_owned()));
    }
    let crashes = if has_trouble { CRASHES } else { 0 };
    for _ in 0..crashes {
        if !wait(START_LIMIT, || executors.iter().any(|one| one.runs_job(JOB))) {
            break;
        }
        thread::sleep(BEFORE_CRASH);
        if let Some(running) = executors.iter_mut().find(|one| one.runs_job(JOB)) {
            running.crash();
            thread::sleep(DOWN);
            running.come_back()?;
        }
    }
    let mut state = String::new();
    wait(Duration::from_secs(35), || {
        state = deployment.state(PATH);
        state == "completed" || state == "failed"
    });
    let failed_ends = executors.iter().flat_map(Executor::ended).filter(|end| end.how == "failed");
    let failed_ends = failed_ends.count();
    let runs: usize = executors.iter().map(|one| one.started().len()).sum();
    let text = format!("state {state:?} after {runs} runs, of which {failed_ends} ended failed");
    Ok(match state.as_str() {
        "failed" if failed_ends == 0 => Verdict::Broken(text),
        "completed" => Verdict::Held(text),
        _ => Verdict::NotRun(text),
    })
}
