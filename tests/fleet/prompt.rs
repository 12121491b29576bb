use std::time::Duration;

use comfreymill_bench::standin::{Behaviour, Call, RecordKind};
use nix::sys::signal::Signal;

use crate::support::Fixture;

fn search(name: &str) -> Call {
    Call::post(format!("/v1/derwent-hull/name-search/{name}"), name.to_owned())
        .header("comfreymill-team", "counter")
}

fn ready_fixture(controls: usize, entries: usize) -> Fixture {
    let mut fixture = Fixture::start(controls, entries);
    fixture.promote_document();
    fixture.add_executor("hr-1");
    for entry in 0..entries {
        fixture.search(entry, "warm");
    }
    fixture
}

#[test]
fn an_entry_that_stops_interrupts_no_request() {
    let mut fixture = ready_fixture(1, 1);
    fixture.executors[0].set_behaviour(Behaviour::Echo(Duration::from_millis(300)));
    let address = fixture.cluster.get_entry(0).callers;
    let callers: Vec<_> = (0..4)
        .map(|caller| {
            std::thread::spawn(move || {
                let mut answered = 0;
                for turn in 0.. {
                    let name = format!("drain-{caller}-{turn}");
                    match search(&name).send_blocking(address) {
                        Ok(response) if response.status().as_u16() == 200 => answered += 1,
                        Ok(response) => return (answered, Some(response.status().as_u16())),
                        // The listener is closed, so the request was not sent.
                        Err(error) => {
                            let is_unsent = error.to_string().contains("no bytes sent");
                            return (answered, (!is_unsent).then_some(0));
                        }
                    }
                }
                unreachable!("the loop ends with a refusal")
            })
        })
        .collect();
    fixture.wait_for_record("/drain-0-1", &RecordKind::Began);
    fixture.cluster.entries[0].signal(Signal::SIGTERM);
    let status = fixture.cluster.entries[0].wait().expect("a status");
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    for caller in callers {
        let (answered, failure) = caller.join().expect("a caller");
        assert!(answered > 0);
        assert_eq!(failure, None, "a request was cut off or refused");
    }
    let began = fixture.journal.count("/drain", &RecordKind::Began);
    assert_eq!(began, fixture.journal.count("/drain", &RecordKind::Finished));
}

#[test]
fn a_leaving_executor_gets_no_new_work() {
    let mut fixture = ready_fixture(1, 1);
    fixture.add_executor("hr-2");
    fixture.executors[0].leave();
    fixture.wait_until_left("hr-1");
    let before = fixture.journal.get_records().len();
    for turn in 0..40 {
        fixture.search(0, &format!("left-{turn}"));
    }
    let records = fixture.journal.get_records();
    assert!(records[before..].iter().all(|record| record.place == "hr-2"), "{records:?}");
}

#[test]
fn a_resent_key_runs_once_through_any_entry() {
    let fixture = ready_fixture(3, 2);
    let keyed = || search("keyed").header("idempotency-key", "caller-1");
    let first = keyed().send_blocking(fixture.cluster.get_entry(0).callers).expect("an answer");
    assert_eq!(first.status().as_u16(), 200);
    let again = keyed().send_blocking(fixture.cluster.get_entry(1).callers).expect("an answer");
    assert_eq!((again.status().as_u16(), again.body()), (200, first.body()));
    assert_eq!(fixture.journal.count("/keyed", &RecordKind::Began), 1);
    // Another request under the same key is refused.
    let other = search("other").header("idempotency-key", "caller-1");
    let refused = other.send_blocking(fixture.cluster.get_entry(1).callers).expect("an answer");
    assert_eq!(refused.headers()["comfreymill-error"], "key-reused");
    assert_eq!(fixture.journal.count("/other", &RecordKind::Began), 0);
}

#[test]
fn an_answer_cut_short_is_never_passed_on_as_whole() {
    let fixture = ready_fixture(1, 1);
    fixture.executors[0].set_behaviour(Behaviour::CutShort);
    let call = search("cut");
    let answer = call.send_blocking(fixture.cluster.get_entry(0).callers).expect("an answer");
    assert_eq!(answer.headers()["comfreymill-error"], "upstream-answer");
    assert_eq!(answer.headers()["comfreymill-run"], "run");
    assert_eq!(fixture.journal.count("/cut", &RecordKind::Began), 1);
}

#[test]
fn not_run_is_never_said_of_a_request_that_ran() {
    let fixture = ready_fixture(1, 1);
    let address = fixture.cluster.get_entry(0).callers;
    let mut not_run = Vec::new();
    for turn in 0..600 {
        // Deadlines of 1 to 1181 us, about as long as it takes to open a connection.
        let name = format!("short-{turn}-");
        let deadline = format!("{}us", 1 + turn % 60 * 20);
        let call = search(&name).header("comfreymill-deadline", &deadline);
        let answer = call.send_blocking(address).expect("an answer");
        if answer.headers().get("comfreymill-run").is_some_and(|run| run == "not-run") {
            not_run.push(name);
        }
    }
    // A request that was sent in spite of its answer would arrive in this time.
    std::thread::sleep(Duration::from_millis(500));
    assert!(!not_run.is_empty(), "no deadline was too short for a request to run");
    for name in not_run {
        let began = fixture.journal.count(&format!("/{name}"), &RecordKind::Began);
        assert_eq!(began, 0, "{name} was reported as not run");
    }
}
