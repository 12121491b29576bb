use comfreymill_node::runtime;

use super::bed::Bed;
use super::caller;
use super::executor::{self, Behaviour, Executor};

fn run<F>(test: F)
where
    F: Future<Output = ()>,
{
    runtime::block_on(test).expect("the runtime starts");
}

#[test]
fn each_fault_of_a_lone_executor_has_its_answer() {
    let cases = [
        (Behaviour::Close, (502, "outcome-unknown", "unknown")),
        (Behaviour::CutShort, (502, "upstream-answer", "run")),
        (Behaviour::RefuseAsNotRun, (503, "overloaded", "not-run")),
    ];
    for (behaviour, expected) in cases {
        run(async move {
            let executor = Executor::start(behaviour);
            let bed = Bed::start(&[executor.address], 2);
            let got = caller::ask(bed.callers, "search", "hull").await;
            assert_eq!(got.error(), expected, "{behaviour:?}");
            let runs = usize::from(behaviour != Behaviour::RefuseAsNotRun);
            assert_eq!(executor.ran().len(), runs, "{behaviour:?}");
            assert_eq!(bed.open_requests().await, 0, "{behaviour:?}");
        });
    }
}

#[test]
fn a_request_that_was_sent_is_not_sent_elsewhere() {
    for behaviour in [Behaviour::Close, Behaviour::CutShort] {
        run(async move {
            let executors = [Executor::start(behaviour), Executor::start(behaviour)];
            let bed = Bed::start(&executors.clone().map(|executor| executor.address), 2);
            caller::ask(bed.callers, "search", "hull").await;
            let runs: usize = executors.iter().map(|executor| executor.ran().len()).sum();
            assert_eq!(runs, 1, "{behaviour:?}");
        });
    }
}

#[test]
fn a_request_that_was_proved_not_to_run_is_sent_elsewhere() {
    run(async {
        let refusing = Executor::start(Behaviour::RefuseAsNotRun);
        let healthy = Executor::start(executor::ECHO);
        let addresses = [refusing.address, executor::nowhere(), healthy.address];
        let bed = Bed::start(&addresses, 2);
        for number in 0..20 {
            let body = format!("hull {number}");
            let got = caller::ask(bed.callers, "search", &body).await;
            assert_eq!((got.status, got.body), (200, body));
        }
        assert_eq!(healthy.ran().len(), 20);
        assert_eq!(refusing.ran().len(), 0);
    });
}

#[test]
fn an_unreachable_service_is_refused_as_not_run() {
    run(async {
        let bed = Bed::start(&[executor::nowhere()], 2);
        for _ in 0..40 {
            let got = caller::ask(bed.callers, "search", "hull").await;
            assert_eq!((got.status, got.run.as_str()), (503, "not-run"));
        }
        assert_eq!(bed.open_requests().await, 0);
    });
}

#[test]
fn an_unrepeatable_request_without_a_key_reaches_no_executor() {
    run(async {
        let executor = Executor::start(executor::ECHO);
        let bed = Bed::start(&[executor.address], 2);
        let got = caller::ask(bed.callers, "certificate", "hull").await;
        assert_eq!(got.error(), (400, "key-required", "not-run"));
        assert_eq!(executor.ran().len(), 0);
    });
}

#[test]
fn a_key_whose_record_cannot_be_opened_is_not_run_and_is_free_again() {
    run(async {
        let executor = Executor::start(executor::ECHO);
        let bed = Bed::start(&[executor.address], 2);
        for _ in 0..3 {
            let headers = [("idempotency-key", "certificate-1")];
            let got = caller::ask_with(bed.callers, "certificate", "hull", &headers).await;
            assert_eq!(got.run, "not-run");
        }
        assert_eq!(executor.ran().len(), 0);
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
        let bed = Bed::start(&[executor.address], 2);
        for (name, value, status) in cases {
            let got = caller::ask_with(bed.callers, "search", "hull", &[(name, value)]).await;
            assert_eq!((got.status, got.run.as_str()), (status, "not-run"), "{name}");
        }
        let unknown = caller::ask(bed.callers, "no-such-class", "hull").await;
        assert_eq!(unknown.error(), (404, "not-found", "not-run"));
        assert_eq!(executor.ran().len(), 0);
    });
}
