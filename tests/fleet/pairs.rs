use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use comfreymill_bench::cluster::{EntryAddresses, Place};
use comfreymill_bench::standin::{Behaviour, Call, RecordKind};
use nix::sys::signal::Signal;

use crate::support::Fixture;

fn issue(key: &str) -> Call {
    Call::post(format!("/v1/derwent-hull/issue-certificate/{key}"), key.to_owned())
        .header("comfreymill-team", "counter")
        .header("idempotency-key", key)
}

fn search(name: &str) -> Call {
    Call::post(format!("/v1/derwent-hull/name-search/{name}"), name.to_owned())
        .header("comfreymill-team", "counter")
}

#[test]
fn an_entry_killed_with_unrepeatable_requests_in_flight_runs_none_twice() {
    let mut fixture = Fixture::start(3, 2);
    fixture.promote_document();
    fixture.add_executor("hr-1");
    fixture.search(0, "warm");
    fixture.search(1, "warm");
    fixture.executors[0].set_behaviour(Behaviour::Echo(Duration::from_millis(400)));
    let callers = fixture.cluster.get_entry(0).callers;
    let keys: Vec<_> = (0..12).map(|number| format!("hull-{number}")).collect();
    let first: Vec<_> = keys
        .iter()
        .map(|key| {
            let call = issue(key);
            thread::spawn(move || call.send_blocking(callers).map(|answer| answer.status()))
        })
        .collect();
    fixture.wait_for_record("/hull-", &RecordKind::Began);
    fixture.cluster.entries[0].kill();
    for caller in first {
        caller.join().expect("a caller").ok();
    }
    fixture.cluster.entries[0].start().expect("an entry starts again");
    let other = fixture.cluster.get_entry(1).callers;
    let mut unknown = 0;
    for key in &keys {
        fixture.wait(&format!("a final answer for {key}"), || {
            let Ok(answer) = issue(key).send_blocking(other) else { return false };
            let kind = answer.headers().get("comfreymill-error").cloned();
            let is_unknown = kind.is_some_and(|kind| kind == "outcome-unknown");
            unknown += usize::from(is_unknown);
            is_unknown || answer.status().as_u16() == 200
        });
        let runs = fixture.journal.count(&format!("/{key}"), &RecordKind::Began);
        // A key that ends in a digit is the prefix of another.
        let longer = keys.iter().filter(|other| *other != key && other.starts_with(key.as_str()));
        assert!(runs <= 1 + longer.count(), "{key} ran {runs} times");
    }
    assert!(unknown > 0, "some request was in flight");
    let records = fixture.journal.get_records();
    let began = records.iter().filter(|record| record.kind == RecordKind::Began);
    let began: Vec<_> = began.filter(|record| record.subject.starts_with("/hull-")).collect();
    let distinct: BTreeSet<_> = began.iter().map(|record| &record.subject).collect();
    assert_eq!(distinct.len(), began.len(), "{began:?}");
}

#[test]
fn an_executor_leaves_while_the_leader_is_killed() {
    let mut fixture = Fixture::start(3, 2);
    fixture.promote_document();
    fixture.add_executor("hr-1");
    fixture.add_executor("hr-2");
    fixture.search(0, "warm");
    let leader = fixture.wait_for_leader();
    fixture.executors[0].leave();
    fixture.cluster.controls[leader].kill();
    fixture.wait_until_left("hr-1");
    let before = fixture.journal.get_records().len();
    for turn in 0..20 {
        fixture.search(turn % 2, &format!("left-{turn}"));
    }
    let records = fixture.journal.get_records();
    assert!(records[before..].iter().all(|record| record.place == "hr-2"), "{records:?}");
}

#[test]
fn a_promotion_behind_a_silent_partition_reports_its_true_outcome() {
    let fixture = Fixture::start_with(&Fixture::config(3, 2).relayed());
    fixture.promote_document();
    let (_, submitted) = fixture.submit(0, 2, "submit-2");
    let digest = submitted["digest"].as_str().expect("a digest").to_owned();
    let promote =
        Call::post("/v1/env/derwent-hull/promote", format!("{{\"digest\":\"{digest}\"}}"))
            .header("operation-id", "promote-2");
    let old = fixture.wait_for_leader();
    let minority = [Place::Control(old), Place::Entry(0)];
    let mut majority: Vec<_> = (0..3).filter(|index| *index != old).map(Place::Control).collect();
    majority.push(Place::Entry(1));
    fixture.cluster.cut(&minority, &majority);
    let (status, body) = fixture.operate(0, promote.clone());
    assert_ne!(status, 200, "{body}");
    fixture.cluster.heal(&minority, &majority);
    let reported = body["run"].as_str().unwrap_or("unknown").to_owned();
    let (_, shown) = fixture.operate(1, Call::get("/v1/env/derwent-hull?stage=production"));
    if reported == "not-run" {
        assert_eq!(shown["version"], 1, "the promotion was reported as not run");
    }
    // The resent operation applies the promotion once, whatever the outcome of the first attempt.
    let reply = fixture.wait_for("the promotion", &promote, |body| body["version"] == 2);
    let again = fixture.wait_for("the same answer", &promote, |body| body["version"] == 2);
    assert_eq!(reply, again);
}

/// Searches through ready entries only, as callers behind the platform's load balancer do.
///
/// Returns the number of searches that were answered and a description of each failed one.
fn call_ready_entries(
    entries: &[EntryAddresses],
    is_over: &AtomicBool,
    caller: usize,
) -> (u32, Vec<String>) {
    let mut answered = 0;
    let mut failures = Vec::new();
    for turn in 0.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let entry = entries[(caller + turn) % entries.len()];
        if !is_ready(entry.operators) {
            thread::sleep(Duration::from_millis(5));
            continue;
        }
        match search(&format!("roll-{caller}-{turn}")).send_blocking(entry.callers) {
            Ok(answer) if answer.status().as_u16() == 200 => answered += 1,
            Ok(answer) => failures.push(format!("{turn}: {:?}", answer.headers())),
            Err(error) => failures.push(format!("{turn}: {error}")),
        }
    }
    (answered, failures)
}

fn is_ready(operators: SocketAddr) -> bool {
    let call = Call::get("/readyz").timeout(Duration::from_secs(2));
    call.send_blocking(operators).is_ok_and(|answer| answer.status().as_u16() == 200)
}

#[test]
fn every_process_restarts_under_load_and_no_request_is_interrupted() {
    let mut fixture = Fixture::start(3, 3);
    fixture.promote_document();
    for executor in 0..3 {
        fixture.add_executor(&format!("hr-{executor}"));
    }
    let entries: Vec<_> = (0..3).map(|entry| fixture.cluster.get_entry(entry)).collect();
    for entry in 0..3 {
        fixture.search(entry, "warm");
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..4)
        .map(|caller| {
            let (entries, is_over) = (entries.clone(), Arc::clone(&is_over));
            thread::spawn(move || call_ready_entries(&entries, &is_over, caller))
        })
        .collect();
    for control in 0..3 {
        fixture.cluster.controls[control].signal(Signal::SIGTERM);
        let status = fixture.cluster.controls[control].wait().expect("a status");
        assert!(status.is_some_and(|status| status.success()), "{status:?}");
        fixture.cluster.controls[control].start().expect("control starts again");
        fixture.wait_for_leader();
        // The next process is stopped only after this one has caught up.
        fixture.wait("the process to be ready", || {
            let call = Call::get("/readyz");
            call.send_blocking(fixture.cluster.get_control(control))
                .is_ok_and(|answer| answer.status().is_success())
        });
    }
    for (entry, addresses) in entries.iter().enumerate() {
        fixture.cluster.entries[entry].signal(Signal::SIGTERM);
        let status = fixture.cluster.entries[entry].wait().expect("a status");
        assert!(status.is_some_and(|status| status.success()), "{status:?}");
        fixture.cluster.entries[entry].start().expect("an entry starts again");
        fixture.wait("the entry to be ready", || is_ready(addresses.operators));
    }
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let (answered, failures) = caller.join().expect("a caller");
        assert!(answered > 0);
        assert!(failures.is_empty(), "{failures:?}; {answered} were answered");
    }
    for executor in &fixture.executors {
        assert!(executor.get_max_concurrency() <= 8);
    }
}
