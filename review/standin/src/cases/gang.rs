//! An executor with a member of a gang crashes and is back after some seconds.

use std::thread;
use std::time::Duration;

use super::{Outcome, ROUTE, labels};
use crate::bed::{Bed, CaseError};
use crate::client;
use crate::record;

const JOB: &str = "5c0e7a21d94b36fa";
/// Time for which the crashed executor is down.
const DOWN: Duration = Duration::from_millis(4_500);
/// Time after its return until the trouble is over for the rules, and some more.
const SETTLED: Duration = Duration::from_millis(5_000);
/// Time for which the job is watched after that.
const WATCHED: Duration = Duration::from_secs(25);

pub(super) fn run(record: &record::Record, has_trouble: bool) -> Outcome {
    let mut bed = Bed::start(record, &ROUTE, labels)?;
    // Members of a gang on executors of their own.
    let spec = "{\"task_spec\":\"ms=4000 cpu=2000 gang=3\",\"steps\":[{\"count\":3,\"cpu\":2000,\"mem_mb\":1024,\"estimate_ms\":4000,\"gang\":true,\"anti_affinity\":1}]}";
    let caller = client::Client::new(record, bed.gateway(0), &ROUTE);
    if caller.submit(JOB, spec) != Some(200) {
        return Err(CaseError("the job is not accepted".to_owned()));
    }
    thread::sleep(Duration::from_millis(1_500));
    let mut settled_at = record.now();
    if has_trouble {
        let runs = record.runs();
        let member = runs.iter().find(|run| run.task.starts_with(JOB));
        let member = member.ok_or_else(|| CaseError("the gang has not begun".to_owned()))?;
        let executor = bed.executors.iter().position(|e| e.id() == member.executor);
        let executor = executor.ok_or_else(|| CaseError("no such executor".to_owned()))?;
        bed.executors[executor].crash();
        thread::sleep(DOWN);
        bed.executors[executor].restart(&bed.controls())?;
        settled_at = record.now() + SETTLED;
    }
    let state = caller.wait_for(JOB, "completed", SETTLED + WATCHED);
    bed.check_processes()?;
    let runs = record.runs();
    let alone = runs
        .iter()
        .filter(|run| run.begun >= settled_at && run.ended.is_some_and(|(_, how)| how == "alone"));
    let alone = alone.count();
    let state = state.unwrap_or_default();
    let breach = format!(
        "{alone} runs that began after {:.3} ended alone; the job is shown as {state:?}",
        settled_at.as_secs_f64()
    );
    Ok((alone > 0).then_some(breach))
}
