use std::time::Duration;

use comfreymill_route::router::{Action, Outcome, Router};
use comfreymill_types::time;

use crate::support;

const FAILED: Outcome = Outcome::Answered { latency: Duration::from_micros(50), status: 500 };

fn ok(micros: u64) -> Outcome {
    Outcome::Answered { latency: Duration::from_micros(micros), status: 200 }
}

/// Sends one request and ends it with `outcome`, which is told whether the executor is `e1`.
/// Returns whether it is.
fn send_one<F>(router: &mut Router, now: time::Monotonic, id: u64, outcome: F) -> bool
where
    F: Fn(bool) -> Outcome,
{
    let admission = router.submit(now, &support::request(id, "search", now));
    let is_first = support::sent_to(&admission) == support::name("e1");
    router.finished(now + Duration::from_millis(2), id, 1, outcome(is_first));
    is_first
}

fn probes(router: &mut Router) -> usize {
    let actions = router.take_actions();
    actions.iter().filter(|action| matches!(action, Action::Probe { .. })).count()
}

#[test]
fn a_failing_executor_is_ejected_probed_tried_and_returned() {
    let mut router = support::router(support::config().policy(support::round_robin()), 4, 8);
    let mut id = 0;
    let mut count = |router: &mut Router, from: u64, turns: u64, outcome: Outcome| {
        let at = |i: u64| support::ms(from + i);
        (0..turns)
            .filter(|i| {
                id += 1;
                send_one(router, at(*i), id, |is_first| if is_first { outcome } else { ok(2_000) })
            })
            .count()
    };
    assert_eq!(count(&mut router, 0, 40, FAILED), 3);
    router.tick(support::ms(900));
    assert_eq!(probes(&mut router), 0);
    router.tick(support::ms(1_100));
    assert_eq!(probes(&mut router), 1);
    assert_eq!(count(&mut router, 1_200, 40, FAILED), 0);
    router.probed(support::ms(1_300), &support::name("e1"), true);
    assert_eq!(count(&mut router, 1_300, 40, FAILED), 1);
    router.tick(support::ms(2_400));
    assert_eq!(probes(&mut router), 0, "the second ejection is longer");
    router.tick(support::ms(3_400));
    router.probed(support::ms(3_400), &support::name("e1"), true);
    assert_eq!(count(&mut router, 3_400, 40, ok(2_000)), 10);
}

#[test]
fn a_slow_executor_is_ejected() {
    let mut router = support::router(support::config().policy(support::round_robin()), 8, 8);
    let visits = (0..400)
        .filter(|id| {
            let outcome = |is_first| if is_first { ok(30_000) } else { ok(2_000) };
            send_one(&mut router, support::ms(*id), *id, outcome)
        })
        .count();
    assert_eq!(visits, 5);
}

#[test]
fn no_more_than_the_share_is_ejected() {
    let mut router = support::router(support::config().policy(support::round_robin()), 4, 8);
    for id in 0..100 {
        send_one(&mut router, support::ms(id), id, |_| FAILED);
    }
    let admission =
        router.submit(support::ms(200), &support::request(200, "search", support::ms(200)));
    support::sent_to(&admission);
    router.tick(support::ms(1_500));
    assert_eq!(probes(&mut router), 2);
}

#[test]
fn silent_connections_are_dropped_and_their_executor_probed_once() {
    let mut router = support::router(support::config(), 1, 8);
    for id in 0..8 {
        router.submit(support::ms(1), &support::request(id, "search", support::ms(1)));
    }
    for id in 0..8 {
        router.finished(support::ms(100), id, 1, Outcome::SentNoAnswer);
    }
    let actions = router.take_actions();
    let drops = actions.iter().filter(|action| matches!(action, Action::DropConnections { .. }));
    assert_eq!(drops.count(), 1);
    let probes = actions.iter().filter(|action| matches!(action, Action::Probe { .. }));
    assert_eq!(probes.count(), 1);
    for id in 0..8 {
        router.resolved(support::ms(101), id, 1);
    }
    router.probed(support::ms(101), &support::name("e1"), true);
    let admission =
        router.submit(support::ms(102), &support::request(9, "search", support::ms(102)));
    assert_eq!(support::sent_to(&admission), support::name("e1"));
}
