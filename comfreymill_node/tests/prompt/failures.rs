use comfreymill_node::runtime;

use super::caller;
use super::executor::{self, Behaviour, Executor};
use super::test_entry::TestEntry;

fn run<F>(test: F)
where
    F: Future<Output = ()>,
{
    runtime::block_on(test).expect("the runtime starts");
}

#[test]
fn each_executor_fault_maps_to_its_error() {
    let cases = [
        (Behaviour::Close, (502, "outcome-unknown", "unknown")),
        (Behaviour::CutShort, (502, "upstream-answer", "run")),
        (Behaviour::RefuseAsNotRun, (503, "overloaded", "not-run")),
    ];
    for (behaviour, expected) in cases {
        run(async move {
            let executor = Executor::start(behaviour);
            let entry = TestEntry::start(&[executor.address], 2);
            let answer = caller::send(entry.callers, "search", "hull").await;
            assert_eq!(answer.error(), expected, "{behaviour:?}");
            let runs = usize::from(behaviour != Behaviour::RefuseAsNotRun);
            assert_eq!(executor.started_bodies().len(), runs, "{behaviour:?}");
            assert_eq!(entry.open_requests().await, 0, "{behaviour:?}");
        });
    }
}

#[test]
fn a_request_that_was_sent_is_not_sent_elsewhere() {
    for behaviour in [Behaviour::Close, Behaviour::CutShort] {
        run(async move {
            let executors = [Executor::start(behaviour), Executor::start(behaviour)];
            let entry = TestEntry::start(&executors.clone().map(|executor| executor.address), 2);
            caller::send(entry.callers, "search", "hull").await;
            let runs: usize =
                executors.iter().map(|executor| executor.started_bodies().len()).sum();
            assert_eq!(runs, 1, "{behaviour:?}");
        });
    }
}

#[test]
fn a_request_that_was_proved_not_to_run_is_sent_elsewhere() {
    run(async {
        let refusing = Executor::start(Behaviour::RefuseAsNotRun);
        let healthy = Executor::start(executor::ECHO);
        let addresses = [refusing.address, executor::unreachable_address(), healthy.address];
        let entry = TestEntry::start(&addresses, 2);
        for number in 0..20 {
            let body = format!("hull {number}");
            let answer = caller::send(entry.callers, "search", &body).await;
            assert_eq!((answer.status, answer.body), (200, body));
        }
        assert_eq!(healthy.started_bodies().len(), 20);
        assert_eq!(refusing.started_bodies().len(), 0);
    });
}

#[test]
fn an_unreachable_service_is_refused_as_not_run() {
    run(async {
        let entry = TestEntry::start(&[executor::unreachable_address()], 2);
        for _ in 0..40 {
            let answer = caller::send(entry.callers, "search", "hull").await;
            assert_eq!((answer.status, answer.run.as_str()), (503, "not-run"));
        }
        assert_eq!(entry.open_requests().await, 0);
    });
}

#[test]
fn an_unrepeatable_request_without_a_key_reaches_no_executor() {
    run(async {
        let executor = Executor::start(executor::ECHO);
        let entry = TestEntry::start(&[executor.address], 2);
        let answer = caller::send(entry.callers, "certificate", "hull").await;
        assert_eq!(answer.error(), (400, "key-required", "not-run"));
        assert_eq!(executor.started_bodies().len(), 0);
    });
}

#[test]
fn a_request_whose_key_record_cannot_be_opened_is_not_run_and_releases_its_key() {
    run(async {
        let executor = Executor::start(executor::ECHO);
        let entry = TestEntry::start(&[executor.address], 2);
        for _ in 0..3 {
            let headers = [("idempotency-key", "certificate-1")];
            let answer =
                caller::send_with_headers(entry.callers, "certificate", "hull", &headers).await;
            assert_eq!(answer.run, "not-run");
        }
        assert_eq!(executor.started_bodies().len(), 0);
    });
}

#[test]
fn malformed_requests_reach_no_executor() {
    let cases = [
        ("idempotency-key", "two words", 400),
        ("comfreymill-team", "No Team", 400),
        ("comfreymill-deadline", "soon", 400),
        ("comfreymill-stage", "rehearsal", 400),
    ];
    run(async move {
        let executor = Executor::start(executor::ECHO);
        let entry = TestEntry::start(&[executor.address], 2);
        for (name, value, status) in cases {
            let answer =
                caller::send_with_headers(entry.callers, "search", "hull", &[(name, value)]).await;
            assert_eq!((answer.status, answer.run.as_str()), (status, "not-run"), "{name}");
        }
        let unknown = caller::send(entry.callers, "no-such-class", "hull").await;
        assert_eq!(unknown.error(), (404, "not-found", "not-run"));
        assert_eq!(executor.started_bodies().len(), 0);
    });
}
