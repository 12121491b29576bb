use std::time::Duration;

use comfreymill_route::router::{self, Action, Outcome};
use comfreymill_types::error::ErrorKind;

use crate::support;

const ANSWERED: Outcome = Outcome::Answered { latency: Duration::from_millis(2), status: 200 };

/// Reaction to the end of the first attempt while a second executor has a free slot.
#[derive(Debug, PartialEq)]
enum Reaction {
    Nothing,
    Retry,
    Error(ErrorKind),
}

fn reaction(actions: &[Action]) -> Reaction {
    let ends = actions.iter().filter_map(|action| match action {
        Action::Send { request: 1, attempt: 2, .. } => Some(Reaction::Retry),
        Action::Refuse { request: 1, error } => Some(Reaction::Error(error.get_kind())),
        _ => None,
    });
    let ends: Vec<_> = ends.collect();
    assert!(ends.len() <= 1, "{ends:?}");
    ends.into_iter().next().unwrap_or(Reaction::Nothing)
}

fn router_with_one_running() -> router::Router {
    let mut router = support::router(support::config(), 2, 1);
    let admission = router.submit(support::ms(1), &support::request(1, "search", support::ms(1)));
    support::sent_to(&admission);
    router
}

#[test]
fn each_outcome_leads_to_its_error_or_retry() {
    let cases = [
        (ANSWERED, Reaction::Nothing, 0),
        (Outcome::NothingSent, Reaction::Retry, 1),
        (Outcome::RefusedByUpstream, Reaction::Retry, 1),
        (Outcome::SentNoAnswer, Reaction::Error(ErrorKind::OutcomeUnknown), 1),
        (Outcome::CutShort, Reaction::Error(ErrorKind::UpstreamAnswer), 1),
        (Outcome::CallerGone, Reaction::Nothing, 1),
        (Outcome::TimedOut, Reaction::Error(ErrorKind::DeadlineExceeded), 1),
    ];
    for (outcome, expected, in_use) in cases {
        let mut router = router_with_one_running();
        router.finished(support::ms(3), 1, 1, outcome);
        assert_eq!(reaction(&router.take_actions()), expected, "{outcome:?}");
        let used =
            router.slots_in_use(&support::name("e1")) + router.slots_in_use(&support::name("e2"));
        assert_eq!(used, in_use, "slots used after {outcome:?}");
    }
}

#[test]
fn a_retry_goes_to_another_executor() {
    let mut router = support::router(support::config(), 2, 1);
    let req = support::request(1, "search", support::ms(1));
    let first = support::sent_to(&router.submit(support::ms(1), &req));
    router.finished(support::ms(2), 1, 1, Outcome::NothingSent);
    let actions = router.take_actions();
    let second = actions.iter().find_map(|action| match action {
        Action::Send { executor, .. } => Some(executor.clone()),
        _ => None,
    });
    assert_ne!(second.expect("it is sent again"), first);
}

#[test]
fn a_retry_after_the_deadline_is_refused_as_not_run() {
    let mut router = router_with_one_running();
    router.finished(support::ms(300), 1, 1, Outcome::NothingSent);
    let expected = Reaction::Error(ErrorKind::ExpiredInQueue);
    assert_eq!(reaction(&router.take_actions()), expected);
}

#[test]
fn an_outcome_of_another_attempt_is_ignored() {
    let mut router = router_with_one_running();
    router.finished(support::ms(2), 1, 2, Outcome::SentNoAnswer);
    router.finished(support::ms(2), 9, 1, Outcome::SentNoAnswer);
    assert_eq!(reaction(&router.take_actions()), Reaction::Nothing);
    assert!(router.is_running(1));
}

#[test]
fn a_slot_of_an_unresolved_attempt_stays_in_use_until_resolved_or_expired() {
    let cfg = support::config().unresolved_hold(Duration::from_secs(1));
    let mut router = support::router(cfg, 1, 1);
    let req = support::request(1, "search", support::ms(1));
    router.submit(support::ms(1), &req);
    router.finished(support::ms(2), 1, 1, Outcome::CallerGone);
    assert_eq!(router.slots_in_use(&support::name("e1")), 1);
    router.tick(support::ms(1_001));
    assert_eq!(router.slots_in_use(&support::name("e1")), 1);
    router.tick(support::ms(1_002));
    assert_eq!(router.slots_in_use(&support::name("e1")), 0);
    router.submit(support::ms(1_010), &support::request(2, "search", support::ms(1_010)));
    router.finished(support::ms(1_011), 2, 1, Outcome::TimedOut);
    router.resolved(support::ms(1_012), 2, 1);
    assert_eq!(router.slots_in_use(&support::name("e1")), 0);
}

#[test]
fn attempts_stay_within_the_budget_when_nothing_can_be_sent() {
    let mut router = support::router(support::config(), 20, 8);
    let mut attempts = 0_u32;
    let requests = 1_000_u32;
    for id in 0..u64::from(requests) {
        let now = support::ms(id);
        let req = support::request(id, "search", now);
        let admission = router.submit(now, &req);
        let mut pending = u32::from(matches!(admission, router::Admission::Send { .. }));
        while pending > 0 {
            attempts += 1;
            assert!(attempts <= 2 * requests, "{attempts} attempts");
            router.finished(now, id, pending, Outcome::NothingSent);
            let retry = router.take_actions().into_iter().find_map(|action| match action {
                Action::Send { attempt, .. } => Some(attempt),
                _ => None,
            });
            pending = retry.unwrap_or(0);
        }
    }
    assert!(attempts <= requests + requests / 10, "{attempts} attempts");
    assert_eq!(router.open_requests(), 0);
}
