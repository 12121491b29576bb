use std::collections::HashMap;
use std::time::Duration;

use comfreymill_route::router::{Action, Admission, Outcome, Router};
use comfreymill_types::error::ErrorKind;
use comfreymill_types::id;

use crate::support;

fn ok() -> Outcome {
    Outcome::Answered { latency: Duration::from_micros(100), status: 200 }
}

fn submit(router: &mut Router, id: u64, class: &str, team: &str) -> Admission {
    let mut req = support::request(id, class, support::ms(1));
    req.team = support::name(team);
    router.submit(support::ms(1), &req)
}

/// Returns the requests in the order in which one slot serves them.
fn order(router: &mut Router, first: u64, count: usize) -> Vec<u64> {
    let mut running = first;
    let mut order = Vec::new();
    for _ in 0..count {
        router.finished(support::ms(1), running, 1, ok());
        let sent = router.take_actions().into_iter().find_map(|action| match action {
            Action::Send { request, .. } => Some(request),
            _ => None,
        });
        running = sent.expect("one is sent when the slot is free");
        order.push(running);
    }
    order
}

#[test]
fn a_higher_priority_is_served_first() {
    let mut router = support::router(support::config(), 1, 1);
    for (id, class) in [(0, "search"), (1, "search"), (2, "slipway"), (3, "search"), (4, "slipway")]
    {
        submit(&mut router, id, class, "counter");
    }
    assert_eq!(order(&mut router, 0, 4), [2, 4, 1, 3]);
}

#[test]
fn the_earliest_deadline_of_a_team_is_served_first() {
    let mut router = support::router(support::config(), 1, 1);
    submit(&mut router, 0, "search", "counter");
    for (id, deadline) in [(1, 190), (2, 150), (3, 170)] {
        let mut req = support::request(id, "search", support::ms(1));
        req.deadline = Some(support::ms(deadline));
        assert_eq!(router.submit(support::ms(1), &req), Admission::Queued);
    }
    assert_eq!(order(&mut router, 0, 3), [2, 3, 1]);
}

#[test]
fn teams_are_served_by_their_shares() {
    let mut router = support::router(support::config(), 1, 1);
    submit(&mut router, 0, "search", "other");
    for id in 1..=4 {
        submit(&mut router, id, "search", "desk");
        submit(&mut router, id + 10, "search", "counter");
    }
    let served = order(&mut router, 0, 4);
    let of_counter = served.iter().filter(|id| **id > 10).count();
    assert_eq!(of_counter, 3, "{served:?}");
}

#[test]
fn a_full_class_evicts_the_latest_request_of_the_team_furthest_over_its_share() {
    let mut router = support::router(support::config(), 1, 1);
    submit(&mut router, 0, "search", "desk");
    for id in 1..=8 {
        assert_eq!(submit(&mut router, id, "search", "desk"), Admission::Queued);
    }
    assert_eq!(submit(&mut router, 9, "search", "counter"), Admission::Queued);
    let refused: Vec<_> = router
        .take_actions()
        .into_iter()
        .filter_map(|action| match action {
            Action::Refuse { request, error } => Some((request, error.get_kind())),
            _ => None,
        })
        .collect();
    assert_eq!(refused, [(8, ErrorKind::QueueFull)]);
    assert_eq!(router.queued_requests(), 8);
}

#[test]
fn a_queued_request_past_its_deadline_is_refused_as_not_run() {
    let mut router = support::router(support::config(), 1, 1);
    submit(&mut router, 0, "search", "desk");
    submit(&mut router, 1, "search", "desk");
    router.tick(support::ms(201));
    let refusals: HashMap<u64, ErrorKind> = router
        .take_actions()
        .into_iter()
        .filter_map(|action| match action {
            Action::Refuse { request, error } => Some((request, error.get_kind())),
            _ => None,
        })
        .collect();
    assert_eq!(refusals, HashMap::from([(1, ErrorKind::ExpiredInQueue)]));
}

#[test]
fn a_queued_request_of_a_disconnected_caller_is_removed() {
    let mut router = support::router(support::config(), 1, 1);
    submit(&mut router, 0, "search", "desk");
    submit(&mut router, 1, "search", "desk");
    router.finished(support::ms(2), 1, 0, Outcome::CallerGone);
    assert_eq!(router.queued_requests(), 0);
    router.finished(support::ms(2), 0, 1, ok());
    let sent = router.take_actions().iter().any(|action| matches!(action, Action::Send { .. }));
    assert!(!sent);
}

/// Returns the demand after two seconds of requests that arrive every 10 ms and run for 20 ms.
fn steady_demand(slots: u32) -> u32 {
    let mut router = support::router(support::config(), 1, slots);
    for step in 0..200 {
        let now = support::ms(10 * step);
        let done = step.wrapping_sub(2);
        if router.is_running(done) {
            let latency = Duration::from_millis(20);
            router.finished(now, done, 1, Outcome::Answered { latency, status: 200 });
        }
        router.submit(now, &support::request(step, "search", now));
        router.tick(now);
        router.take_actions();
    }
    let register: id::ServiceName = support::name("register");
    let demand = router.demand(support::ms(2_000)).into_iter();
    demand.filter(|demand| demand.service == register).map(|demand| demand.slots).sum()
}

#[test]
fn demand_is_what_arrivals_need_whether_they_are_served_or_not() {
    assert_eq!(steady_demand(8), 2);
    let refused = steady_demand(1);
    assert!((2..=3).contains(&refused), "{refused} slots");
}

#[test]
fn demand_falls_without_requests() {
    let mut router = support::router(support::config(), 1, 1);
    submit(&mut router, 0, "search", "desk");
    router.finished(support::ms(2), 0, 1, ok());
    for step in 1..400 {
        router.tick(support::ms(10 * step));
    }
    let demand = router.demand(support::ms(4_000)).into_iter();
    assert!(demand.map(|demand| demand.slots).sum::<u32>() <= 1);
}
