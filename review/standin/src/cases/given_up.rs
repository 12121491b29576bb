//! Two executors crash one after the other, each shortly after it has begun the same task.

use std::thread;
use std::time::{Duration, Instant};

use super::{Outcome, ROUTE, labels};
use crate::bed::{Bed, CaseError};
use crate::client;
use crate::record;

const JOB: &str = "5c0e7a21d94b36fa";
/// Time from a start to the crash of its executor.
const CRASH_AFTER: Duration = Duration::from_millis(400);
/// Time for which a crashed executor is down.
const DOWN: Duration = Duration::from_millis(1_000);

pub(super) fn run(record: &record::Record, has_trouble: bool) -> Outcome {
    let mut bed = Bed::start(record, &ROUTE, labels)?;
    // The executors have been up for a while when the trouble comes.
    thread::sleep(Duration::from_secs(11));
    let spec = "{\"task_spec\":\"ms=2200 cpu=1800\",\"steps\":[{\"count\":1,\"cpu\":1800,\"mem_mb\":3200,\"estimate_ms\":2200}]}";
    let caller = client::Client::new(record, bed.gateway(0), &ROUTE);
    if caller.submit(JOB, spec) != Some(200) {
        return Err(CaseError("the job is not accepted".to_owned()));
    }
    if has_trouble {
        for begun in 1..=2 {
            let executor = wait_for_start(&bed, begun)?;
            thread::sleep(CRASH_AFTER);
            bed.executors[executor].crash();
            thread::sleep(DOWN);
            bed.executors[executor].restart(&bed.controls())?;
        }
    }
    let state = caller.wait_for(JOB, "completed", Duration::from_secs(30));
    bed.check_processes()?;
    let failed = record.runs().iter().filter(|run| is_failed(run)).count();
    let breach = format!("the job is shown as failed, and {failed} runs of its task ended failed");
    Ok((state.as_deref() == Some("failed") && failed < 2).then_some(breach))
}

fn is_failed(run: &record::RunRecord) -> bool {
    run.task.starts_with(JOB) && run.ended.is_some_and(|(_, how)| how == "failed")
}

/// Waits until the task has begun for the `count`th time; returns the number of the executor.
fn wait_for_start(bed: &Bed, count: usize) -> Result<usize, CaseError> {
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(20) {
        let runs = bed.record.runs();
        let run = runs.iter().filter(|run| run.task.starts_with(JOB)).nth(count - 1);
        let executor = run.map(|run| bed.executors.iter().position(|e| e.id() == run.executor));
        if let Some(Some(executor)) = executor {
            return Ok(executor);
        }
        thread::sleep(Duration::from_millis(10));
    }
    Err(CaseError(format!("the task has not begun {count} times")))
}
