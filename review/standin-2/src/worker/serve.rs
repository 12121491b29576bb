use std::io::{self, BufReader};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use super::executor::Shared;
use super::life::{Life, Started};
use super::orders::Refusal;
use crate::json::Value;
use crate::wire;

/// Interval between checks for an end while the answer to an order is delayed.
const CHECK_PERIOD: Duration = Duration::from_millis(5);

/// Answers the orders of one connection until the executor's life ends.
pub(super) fn serve(mut stream: TcpStream, shared: &Arc<Shared>) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = wire::read_request(&mut reader)? {
        let (status, body) = handle(shared, &request);
        if !shared.is_alive() {
            break;
        }
        wire::answer(&mut stream, status, &body)?;
    }
    Ok(())
}

fn handle(shared: &Shared, request: &wire::Request) -> (u16, Value) {
    if request.path == "/health" {
        return (200, Value::Object(Vec::new()));
    }
    if request.instance != shared.plan.id {
        return reply(shared, 421, "instance");
    }
    let outcome = match request.path.as_str() {
        "/api/run-start" => start(shared, &request.body),
        "/api/run-stop" => with(shared, |life| {
            life.check_fence(&request.body)?;
            shared.note_ends(&life.stop(&request.body).into_iter().collect::<Vec<_>>());
            Ok(())
        }),
        "/api/pace" => with(shared, |life| life.check_fence(&request.body)),
        "/api/hold" => return hold(shared, &request.body),
        _ => Err((404, "path")),
    };
    match outcome {
        Ok(()) => reply(shared, 200, ""),
        Err((status, reason)) => reply(shared, status, reason),
    }
}

fn start(shared: &Shared, body: &Value) -> Result<(), Refusal> {
    let plan = &shared.plan;
    let has_begun = with(shared, |life| {
        life.check_fence(body)?;
        shared.note_ends(&life.settle());
        life.start(body, plan.cpu, plan.longest_lease)
    })?;
    if has_begun {
        let run = body.get("run").number().unwrap_or_default();
        let task = body.get("task").text().to_owned();
        shared.note_start(Started { task, run, executor: plan.id.clone() });
    }
    Ok(())
}

/// Answers with both lists, at once or when a run has ended.
fn hold(shared: &Shared, body: &Value) -> (u16, Value) {
    let taken = with(shared, |life| {
        life.check_fence(body)?;
        life.extend_lease(body, shared.plan.longest_lease);
        life.forget(body);
        Ok(())
    });
    if let Err((status, reason)) = taken {
        return reply(shared, status, reason);
    }
    let wait = body.get("wait_ms").number().unwrap_or_default().min(2_000);
    let until = Instant::now() + Duration::from_millis(wait);
    loop {
        let lists = with(shared, |life| {
            shared.note_ends(&life.settle());
            let is_due = Instant::now() >= until || !life.ended.is_empty();
            is_due.then(|| life.lists(shared.tail_ms.load(Ordering::Relaxed)))
        });
        if let Some(lists) = lists {
            return (200, shared.object(lists));
        }
        if !shared.is_alive() {
            return reply(shared, 503, "");
        }
        thread::sleep(CHECK_PERIOD);
    }
}

fn with<F, T>(shared: &Shared, access: F) -> T
where
    F: FnOnce(&mut Life) -> T,
{
    access(&mut shared.life.lock().unwrap_or_else(PoisonError::into_inner))
}

fn reply(shared: &Shared, status: u16, reason: &str) -> (u16, Value) {
    let reason = (!reason.is_empty()).then(|| ("reason".to_owned(), reason.into()));
    (status, shared.object(reason.into_iter().collect()))
}
