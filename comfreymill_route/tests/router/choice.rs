use std::time::Duration;

use comfreymill_route::router::{Admission, Outcome, Policy, Router};
use comfreymill_types::time;

use crate::support;

fn answer(router: &mut Router, now: time::Monotonic, id: u64, micros: u64) {
    let latency = Duration::from_micros(micros);
    router.finished(now, id, 1, Outcome::Answered { latency, status: 200 });
}

#[test]
fn policies_print_and_parse() {
    for policy in [Policy::RoundRobin, Policy::Random, Policy::TwoChoices, Policy::LeastLoaded] {
        assert_eq!(policy.to_string().parse(), Ok(policy));
    }
    assert!("fastest".parse::<Policy>().is_err());
}

#[test]
fn every_policy_keeps_to_the_slots_granted() {
    for policy in [Policy::RoundRobin, Policy::Random, Policy::TwoChoices, Policy::LeastLoaded] {
        let mut router = support::router(support::config().policy(policy), 3, 2);
        for id in 0..12 {
            router.submit(support::ms(1), &support::request(id, "search", support::ms(1)));
        }
        for executor in ["e1", "e2", "e3"] {
            assert_eq!(router.slots_in_use(&support::name(executor)), 2, "{policy} at {executor}");
        }
    }
}

#[test]
fn the_least_loaded_is_chosen() {
    let mut router = support::router(support::config(), 2, 4);
    let first = router.submit(support::ms(1), &support::request(1, "search", support::ms(1)));
    let second = router.submit(support::ms(1), &support::request(2, "search", support::ms(1)));
    assert_ne!(support::sent_to(&first), support::sent_to(&second));
}

#[test]
fn an_executor_that_fails_fast_gets_no_more_requests() {
    let mut router = support::router(support::config().ejection(false), 2, 8);
    let first = router.submit(support::ms(1), &support::request(1, "search", support::ms(1)));
    let failing = support::sent_to(&first);
    let status = 500;
    let latency = Duration::from_micros(50);
    router.finished(support::ms(2), 1, 1, Outcome::Answered { latency, status });
    for id in 2..10 {
        let admission =
            router.submit(support::ms(3), &support::request(id, "search", support::ms(3)));
        assert_ne!(support::sent_to(&admission), failing);
        answer(&mut router, support::ms(4), id, 2_000);
    }
}

#[test]
fn the_own_region_is_used_while_it_can_serve() {
    let mut router = support::router(support::config(), 0, 0);
    let mut far = support::executor(2, 8);
    far.region = support::name("north");
    let near = support::executor(1, 1);
    router.update_executors(support::ms(0), support::table(2, vec![near, far]));
    let first = router.submit(support::ms(1), &support::request(1, "search", support::ms(1)));
    assert_eq!(support::sent_to(&first), support::name("e1"));
    let second = router.submit(support::ms(1), &support::request(2, "search", support::ms(1)));
    assert_eq!(second, Admission::Queued);
}

#[test]
fn another_region_serves_what_the_own_cannot() {
    let mut near = support::executor(1, 8);
    near.leaving = true;
    let mut far = support::executor(2, 8);
    far.region = support::name("north");
    let mut router = support::router(support::config(), 0, 0);
    router.update_executors(support::ms(0), support::table(2, vec![near, far]));
    let admission = router.submit(support::ms(1), &support::request(1, "search", support::ms(1)));
    assert_eq!(support::sent_to(&admission), support::name("e2"));
}

#[test]
fn a_class_runs_only_where_its_document_allows() {
    let mut north = support::executor(2, 1);
    north.zone = support::name("north-a");
    let mut router = support::router(support::config(), 0, 0);
    router
        .update_executors(support::ms(0), support::table(2, vec![support::executor(1, 8), north]));
    let first = router.submit(support::ms(1), &support::request(1, "north-only", support::ms(1)));
    assert_eq!(support::sent_to(&first), support::name("e2"));
    let second = router.submit(support::ms(1), &support::request(2, "north-only", support::ms(1)));
    assert_eq!(second, Admission::Queued);
}

#[test]
fn a_new_executor_starts_with_part_of_its_slots() {
    let mut router = support::router(support::config(), 1, 8);
    let both = vec![support::executor(1, 8), support::executor(2, 8)];
    router.update_executors(support::ms(1_000), support::table(2, both));
    for id in 0..9 {
        router.submit(support::ms(1_000), &support::request(id, "search", support::ms(1_000)));
    }
    assert_eq!(router.slots_in_use(&support::name("e2")), 1);
    assert_eq!(router.slots_in_use(&support::name("e1")), 8);
    router.submit(support::ms(6_000), &support::request(10, "search", support::ms(6_000)));
    router.tick(support::ms(6_000));
    assert_eq!(router.slots_in_use(&support::name("e2")), 2);
}

#[test]
fn queued_requests_use_all_slots_during_a_slow_start() {
    let mut router = support::router(support::config(), 1, 8);
    let both = vec![support::executor(1, 8), support::executor(2, 8)];
    router.update_executors(support::ms(1_000), support::table(2, both));
    for id in 0..12 {
        router.submit(support::ms(1_000), &support::request(id, "search", support::ms(1_000)));
    }
    assert_eq!(router.queued_requests(), 3);
    router.tick(support::ms(1_010));
    assert_eq!(router.queued_requests(), 0);
    assert_eq!(router.slots_in_use(&support::name("e2")), 4);
}
