use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use super::{Fleet, Window};
use crate::error::BenchError;
use crate::figure::Figure;
use crate::standin::{Call, RecordKind};

const VOTERS: usize = 3;
const ENTRIES: usize = 8;
const WORKERS: usize = 65;
const STARTS_PER_SECOND: u32 = 57;
const WORK: Duration = Duration::from_millis(500);
const SETTLE_TIME: Duration = Duration::from_secs(8);
const SPAN: Duration = Duration::from_secs(20);
const SUBMIT_INTERVAL: Duration = Duration::from_secs(1);

/// Measures the processes' resource use while tasks start at the target's rate on today's number
/// of workers.
///
/// # Errors
///
/// The cluster did not start or refused jobs.
pub fn starts(binary: &Path, seed: u64) -> Result<Vec<Figure>, BenchError> {
    let cfg = Fleet::config(binary, VOTERS, ENTRIES).relayed();
    let mut fleet = Fleet::start(&cfg)?;
    (0..WORKERS).for_each(|number| fleet.add_worker(number));
    fleet.wait_for_upstreams()?;
    let mut job = 0;
    submit_for(&fleet, SETTLE_TIME, &mut job)?;
    let leader = fleet.wait_for_leader()?;
    let began = fleet.journal.count("j", &RecordKind::Began);
    let window = Window::begin(&fleet)?;
    let since = Instant::now();
    submit_for(&fleet, SPAN, &mut job)?;
    let seconds = since.elapsed().as_secs_f64();
    let started = fleet.journal.count("j", &RecordKind::Began) - began;
    let prefix = format!("starts.{WORKERS}_workers");
    let mut figures = window.end(&fleet, leader, &prefix, seed)?;
    let rate = started as f64 / seconds;
    figures.push(Figure::new(format!("{prefix}.reached"), rate, "starts/s", seed));
    Ok(figures)
}

/// Submits one job per second, with [`STARTS_PER_SECOND`] tasks each.
fn submit_for(fleet: &Fleet, span: Duration, job: &mut usize) -> Result<(), BenchError> {
    let began = Instant::now();
    let mut submitted = 0;
    while began.elapsed() < span {
        *job += 1;
        let answer = fleet.operate(*job % ENTRIES, submission(*job));
        if !matches!(answer, Some((200, _))) {
            return Err(BenchError::Unexpected(format!("a job was not accepted: {answer:?}")));
        }
        submitted += 1;
        thread::sleep((SUBMIT_INTERVAL * submitted).saturating_sub(began.elapsed()));
    }
    Ok(())
}

fn submission(number: usize) -> Call {
    let job = serde_json::json!({
        "environment": "derwent-hull",
        "team": "registry",
        "class": "certificate-batch",
        "tasks": STARTS_PER_SECOND,
        "size": { "cores": 1, "memory": "1GB" },
        "payload": serde_json::json!({ "work_ms": WORK.as_millis() as u64 }).to_string(),
    });
    Call::post("/v1/jobs", job.to_string()).header("idempotency-key", &format!("job-{number}"))
}
