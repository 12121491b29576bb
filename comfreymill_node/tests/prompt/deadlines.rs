use std::time::Duration;

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

/// Waits until the executor has started to run `count` requests.
async fn wait_until_started(executor: &Executor, count: usize) {
    while executor.started_bodies().len() < count {
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[test]
fn a_late_answer_is_not_passed_on_and_frees_its_slot() {
    run(async {
        let executor = Executor::start(Behaviour::EchoAfter(Duration::from_millis(700)));
        let entry = TestEntry::start(&[executor.address], 1);
        let late = caller::send(entry.callers, "search", "first").await;
        assert_eq!(late.error(), (504, "deadline-exceeded", "unknown"));
        // The slot of an attempt of unknown outcome would be held beyond this request's deadline.
        let next = caller::send(entry.callers, "medium", "second").await;
        assert_eq!((next.status, next.body.as_str()), (200, "second"));
        assert_eq!(executor.started_bodies(), ["first", "second"]);
    });
}

#[test]
fn a_disconnected_caller_frees_the_slot_once_its_request_has_run() {
    run(async {
        let executor = Executor::start(Behaviour::EchoAfter(Duration::from_millis(100)));
        let entry = TestEntry::start(&[executor.address], 1);
        caller::send_and_disconnect(entry.callers, "long", "abandoned", Duration::from_millis(20))
            .await;
        wait_until_started(&executor, 1).await;
        let next = caller::send(entry.callers, "medium", "next").await;
        assert_eq!((next.status, next.body.as_str()), (200, "next"));
        assert_eq!(entry.open_requests().await, 0);
    });
}

#[test]
fn a_queued_request_whose_caller_disconnects_is_not_run() {
    run(async {
        let executor = Executor::start(Behaviour::EchoAfter(Duration::from_millis(200)));
        let entry = TestEntry::start(&[executor.address], 1);
        let callers = entry.callers;
        let first =
            monoio::spawn(async move { caller::send(callers, "long", "first").await.status });
        wait_until_started(&executor, 1).await;
        caller::send_and_disconnect(callers, "long", "abandoned", Duration::from_millis(20)).await;
        assert_eq!(first.await, 200);
        let next = caller::send(callers, "long", "next").await;
        assert_eq!(next.status, 200);
        assert_eq!(executor.started_bodies(), ["first", "next"]);
    });
}

#[test]
fn a_connection_that_goes_silent_is_replaced_and_its_executor_kept() {
    run(async {
        let executor = Executor::start(Behaviour::SilentAfterFirst);
        let entry = TestEntry::start(&[executor.address], 4);
        let callers = entry.callers;
        let concurrent =
            monoio::spawn(async move { caller::send(callers, "search", "0").await.status });
        let mut statuses = Vec::new();
        for number in 1..4 {
            let answer = caller::send(callers, "search", &format!("{number}")).await;
            statuses.push(answer.status);
        }
        assert_eq!((concurrent.await, statuses), (200, vec![200, 504, 200]));
        let mut ran = executor.started_bodies();
        ran.sort();
        assert_eq!(ran, ["0", "1", "2", "3"], "nothing is sent twice");
    });
}

#[test]
fn a_process_that_is_stopping_refuses_new_requests_and_finishes_the_others() {
    run(async {
        let executor = Executor::start(Behaviour::EchoAfter(Duration::from_millis(200)));
        let entry = TestEntry::start(&[executor.address], 1);
        let callers = entry.callers;
        let running = monoio::spawn(async move { caller::send(callers, "long", "in").await });
        wait_until_started(&executor, 1).await;
        entry.dispatcher.drain();
        let refused = caller::send(callers, "long", "new").await;
        assert_eq!(refused.error(), (503, "draining", "not-run"));
        assert_eq!(running.await.body, "in");
        assert_eq!(executor.started_bodies(), ["in"]);
    });
}

#[test]
fn an_executor_that_cannot_be_reached_is_not_waited_for_until_the_deadline() {
    run(async {
        let healthy = Executor::start(executor::ECHO);
        // The address is reserved for documentation, so connecting to it never succeeds.
        let silent = "192.0.2.1:9".parse().expect("an address");
        let entry = TestEntry::start(&[silent, healthy.address], 1);
        for number in 0..4 {
            let body = format!("{number}");
            let answer = caller::send(entry.callers, "search", &body).await;
            assert_eq!((answer.status, answer.body), (200, body));
        }
        assert_eq!(healthy.started_bodies().len(), 4);
    });
}
