//! A gateway freezes with a submission that it has not read. The caller leaves and cancels the job
//! at another gateway; then the first one wakes.

use std::thread;
use std::time::Duration;

use super::{Outcome, ROUTE, labels};
use crate::bed::{Bed, CaseError};
use crate::client;
use crate::record;

const JOB: &str = "5c0e7a21d94b36fa";
/// Time for which the gateway is frozen.
const FREEZE: Duration = Duration::from_millis(5_000);
/// Time after which the caller leaves.
const PATIENCE: Duration = Duration::from_millis(500);
/// `cancel_ms` of the deployment.
const CANCEL_LIMIT: Duration = Duration::from_millis(3_000);

pub(super) fn run(record: &record::Record, has_trouble: bool) -> Outcome {
    let mut bed = Bed::start(record, &ROUTE, labels)?;
    let spec = "{\"task_spec\":\"ms=3000 cpu=1800\",\"steps\":[{\"count\":2,\"cpu\":1800,\"mem_mb\":3200,\"estimate_ms\":3000}]}";
    let first = client::Client::new(record, bed.gateway(0), &ROUTE);
    let second = client::Client::new(record, bed.gateway(1), &ROUTE);
    if has_trouble {
        bed.signal_gateway(0, "STOP")?;
    }
    let connection = first.submit_only(JOB, spec)?;
    thread::sleep(PATIENCE);
    drop(connection);
    record.note("the caller closes its connection");
    let status = second.cancel(JOB);
    if !matches!(status, Some(200 | 410)) {
        return Err(CaseError(format!("the cancellation is not acknowledged: {status:?}")));
    }
    let limit = record.now() + CANCEL_LIMIT;
    if has_trouble {
        thread::sleep(FREEZE.saturating_sub(PATIENCE));
        bed.signal_gateway(0, "CONT")?;
    }
    thread::sleep(Duration::from_secs(8));
    second.state(JOB);
    bed.check_processes()?;
    let runs = record.runs();
    let late = runs.iter().find(|run| run.task.starts_with(JOB) && run.begun > limit);
    Ok(late.map(|run| {
        let at = run.begun.as_secs_f64();
        format!(
            "{} began at {at:.3}, later than {:.3}: its cancelling was acknowledged {} ms before that",
            run.task,
            limit.as_secs_f64(),
            CANCEL_LIMIT.as_millis()
        )
    }))
}
