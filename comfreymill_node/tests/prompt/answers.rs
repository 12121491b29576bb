use std::time::Duration;

use comfreymill_node::runtime;
use comfreymill_route::router;

use super::caller;
use super::executor::{self, Behaviour, Executor};
use super::test_entry::TestEntry;

const CALLERS: usize = 60;

#[test]
fn each_caller_gets_its_own_answer() {
    let test = async {
        let executors = [
            Executor::start(executor::ECHO),
            Executor::start(Behaviour::EchoAfter(Duration::from_millis(7))),
            Executor::start(Behaviour::EchoAfter(Duration::from_millis(3))),
        ];
        let entry = TestEntry::start(&executors.clone().map(|executor| executor.address), 4);
        let callers = entry.callers;
        let sends: Vec<_> = (0..CALLERS)
            .map(|number| {
                let body = format!("hull {number} {}", "x".repeat(number * 37));
                monoio::spawn(async move {
                    let answer = caller::send(callers, "long", &body).await;
                    (answer.status, answer.body == body)
                })
            })
            .collect();
        for sent in sends {
            assert_eq!(sent.await, (200, true));
        }
        let runs: usize = executors.iter().map(|executor| executor.started_bodies().len()).sum();
        assert_eq!(runs, CALLERS);
    };
    runtime::block_on(test).expect("the runtime starts");
}

#[test]
fn bytes_after_an_answer_are_not_taken_for_the_next_answer() {
    let test = async {
        let executor = Executor::start(Behaviour::Overlong);
        let entry = TestEntry::start(&[executor.address], 1);
        for number in 0..5 {
            let body = format!("hull {number}");
            let answer = caller::send(entry.callers, "long", &body).await;
            assert_eq!((answer.status, answer.body), (200, body));
        }
    };
    runtime::block_on(test).expect("the runtime starts");
}

#[test]
fn an_answer_names_the_request_whose_decisions_are_kept() {
    let test = async {
        let executor = Executor::start(executor::ECHO);
        let entry = TestEntry::start(&[executor.address], 1);
        let answer = caller::send(entry.callers, "long", "hull").await;
        assert_eq!(answer.status, 200, "{answer:?}");
        let number = answer.number.parse().expect("a number");
        let decisions = entry.dispatcher.decisions(Some(number)).await;
        let steps: Vec<_> = decisions.into_iter().flat_map(|decision| decision.steps).collect();
        assert!(
            matches!(steps[..], [router::Step::Sent { .. }, router::Step::Ended { .. }]),
            "{steps:?}"
        );
    };
    runtime::block_on(test).expect("the runtime starts");
}
