use std::time::Duration;

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

/// Waits until the executor has started to run `count` requests.
async fn begun(executor: &Executor, count: usize) {
    while executor.ran().len() < count {
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[test]
fn a_late_answer_is_not_passed_on_and_frees_its_slot() {
    run(async {
        let executor = Executor::start(Behaviour::EchoAfter(Duration::from_millis(700)));
        let bed = Bed::start(&[executor.address], 1);
        let late = caller::ask(bed.callers, "search", "first").await;
        assert_eq!(late.error(), (504, "deadline-exceeded", "unknown"));
        // The slot of an attempt of unknown outcome would be held beyond this request's deadline.
        let next = caller::ask(bed.callers, "brief", "second").await;
        assert_eq!((next.status, next.body.as_str()), (200, "second"));
        assert_eq!(executor.ran(), ["first", "second"]);
    });
}

#[test]
fn a_caller_that_leaves_frees_the_slot_when_its_request_has_run() {
    run(async {
        let executor = Executor::start(Behaviour::EchoAfter(Duration::from_millis(100)));
        let bed = Bed::start(&[executor.address], 1);
        caller::ask_and_leave(bed.callers, "patient", "left", Duration::from_millis(20)).await;
        begun(&executor, 1).await;
        let next = caller::ask(bed.callers, "search", "next").await;
        assert_eq!((next.status, next.body.as_str()), (200, "next"));
        assert_eq!(bed.open_requests().await, 0);
    });
}

#[test]
fn a_caller_that_leaves_the_queue_is_not_run() {
    run(async {
        let executor = Executor::start(Behaviour::EchoAfter(Duration::from_millis(200)));
        let bed = Bed::start(&[executor.address], 1);
        let callers = bed.callers;
        let first =
            monoio::spawn(async move { caller::ask(callers, "patient", "first").await.status });
        begun(&executor, 1).await;
        caller::ask_and_leave(callers, "patient", "left", Duration::from_millis(20)).await;
        assert_eq!(first.await, 200);
        let next = caller::ask(callers, "patient", "next").await;
        assert_eq!(next.status, 200);
        assert_eq!(executor.ran(), ["first", "next"]);
    });
}

#[test]
fn a_connection_that_goes_silent_is_replaced_and_its_executor_kept() {
    run(async {
        let executor = Executor::start(Behaviour::SilentAfterFirst);
        let bed = Bed::start(&[executor.address], 4);
        let callers = bed.callers;
        let beside = monoio::spawn(async move { caller::ask(callers, "search", "0").await.status });
        let mut statuses = Vec::new();
        for number in 1..4 {
            let got = caller::ask(callers, "search", &format!("{number}")).await;
            statuses.push(got.status);
        }
        assert_eq!((beside.await, statuses), (200, vec![200, 504, 200]));
        let mut ran = executor.ran();
        ran.sort();
        assert_eq!(ran, ["0", "1", "2", "3"], "nothing is sent twice");
    });
}

#[test]
fn a_process_that_is_stopping_refuses_new_requests_and_finishes_the_others() {
    run(async {
        let executor = Executor::start(Behaviour::EchoAfter(Duration::from_millis(200)));
        let bed = Bed::start(&[executor.address], 1);
        let callers = bed.callers;
        let running = monoio::spawn(async move { caller::ask(callers, "patient", "in").await });
        begun(&executor, 1).await;
        bed.dispatcher.drain();
        let refused = caller::ask(callers, "patient", "new").await;
        assert_eq!(refused.error(), (503, "draining", "not-run"));
        assert_eq!(running.await.body, "in");
        assert_eq!(executor.ran(), ["in"]);
    });
}

#[test]
fn an_executor_that_cannot_be_reached_is_not_waited_for_until_the_deadline() {
    run(async {
        let healthy = Executor::start(executor::ECHO);
        // The address is reserved for documentation, so connecting to it never succeeds.
        let silent = "192.0.2.1:9".parse().expect("an address");
        let bed = Bed::start(&[silent, healthy.address], 1);
        for number in 0..4 {
            let body = format!("{number}");
            let got = caller::ask(bed.callers, "search", &body).await;
            assert_eq!((got.status, got.body), (200, body));
        }
        assert_eq!(healthy.ran().len(), 4);
    });
}
