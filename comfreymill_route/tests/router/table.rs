use std::time::Duration;

use comfreymill_route::router::{Action, Admission, Outcome};
use comfreymill_types::id;

use crate::support;

fn ok() -> Outcome {
    Outcome::Answered { latency: Duration::from_millis(1), status: 200 }
}

#[test]
fn a_leaving_executor_gets_no_new_work_and_finishes_what_it_has() {
    let mut router = support::router(support::config(), 1, 2);
    router.submit(support::ms(1), &support::request(1, "search", support::ms(1)));
    let mut leaving = support::executor(1, 2);
    leaving.leaving = true;
    let table = support::table(2, vec![leaving, support::executor(2, 2)]);
    router.update_executors(support::ms(2), table);
    for id in 2..6 {
        router.submit(support::ms(3), &support::request(id, "search", support::ms(3)));
    }
    assert_eq!(router.slots_in_use(&support::name("e1")), 1);
    router.finished(support::ms(4), 1, 1, ok());
    assert_eq!(router.slots_in_use(&support::name("e1")), 0);
}

#[test]
fn a_new_incarnation_is_another_executor() {
    let mut router = support::router(support::config(), 1, 2);
    router.submit(support::ms(1), &support::request(1, "search", support::ms(1)));
    let mut restarted = support::executor(1, 2);
    restarted.incarnation = id::Incarnation::new(2);
    restarted.epoch = 5;
    router.update_executors(support::ms(2), support::table(2, vec![restarted]));
    for id in 2..5 {
        router.submit(support::ms(20_000), &support::request(id, "search", support::ms(20_000)));
    }
    assert_eq!(
        router.slots_in_use(&support::name("e1")),
        3,
        "one of the old incarnation, two of the new"
    );
    router.finished(support::ms(20_001), 1, 1, ok());
    assert_eq!(router.slots_in_use(&support::name("e1")), 2);
}

#[test]
fn an_older_table_or_grant_is_ignored() {
    let mut router = support::router(support::config(), 1, 1);
    router.update_executors(support::ms(1), support::table(5, vec![support::executor(1, 2)]));
    router.update_executors(support::ms(2), support::table(4, vec![]));
    assert!(router.is_known(&support::name("e1")));
    let mut old = support::executor(1, 8);
    old.epoch = 0;
    router.update_executors(support::ms(3), support::table(6, vec![old]));
    for id in 0..8 {
        router.submit(support::ms(4), &support::request(id, "search", support::ms(4)));
    }
    assert_eq!(router.slots_in_use(&support::name("e1")), 2);
}

#[test]
fn a_shrunk_grant_is_returned_as_requests_end() {
    let mut router = support::router(support::config(), 1, 3);
    for id in 0..3 {
        router.submit(support::ms(1), &support::request(id, "search", support::ms(1)));
    }
    let slots = |holdings: Vec<comfreymill_route::router::Holding>| -> Vec<(u64, u32)> {
        holdings.into_iter().map(|holding| (holding.epoch, holding.slots)).collect()
    };
    assert_eq!(slots(router.take_changed_holdings(support::ms(1))), [(1, 3)]);
    let mut shrunk = support::executor(1, 1);
    shrunk.epoch = 2;
    router.update_executors(support::ms(2), support::table(2, vec![shrunk]));
    assert_eq!(slots(router.take_changed_holdings(support::ms(2))), [(2, 3)]);
    router.finished(support::ms(3), 0, 1, ok());
    assert_eq!(slots(router.take_changed_holdings(support::ms(3))), [(2, 2)]);
    router.finished(support::ms(3), 1, 1, ok());
    router.finished(support::ms(3), 2, 1, ok());
    assert_eq!(slots(router.take_changed_holdings(support::ms(3))), [(2, 1)]);
    assert_eq!(slots(router.take_changed_holdings(support::ms(3))), []);
    assert_eq!(slots(router.holdings(0)), [(2, 1)]);
}

#[test]
fn grants_are_not_used_after_their_lease() {
    let mut router = support::router(support::config(), 1, 2);
    router.set_lease(support::ms(0), 0, support::ms(100));
    let at = |router: &mut comfreymill_route::router::Router, id, now| {
        router.submit(support::ms(now), &support::request(id, "search", support::ms(now)))
    };
    support::sent_to(&at(&mut router, 1, 99));
    assert_eq!(at(&mut router, 2, 100), Admission::Queued);
    router.set_lease(support::ms(150), 0, support::ms(400));
    let sent = router.take_actions();
    assert!(matches!(sent[..], [Action::Send { request: 2, .. }]), "{sent:?}");
}

#[test]
fn an_executor_listed_again_in_the_same_incarnation_keeps_its_running_requests() {
    let mut router = support::router(support::config(), 1, 2);
    router.submit(support::ms(1), &support::request(1, "search", support::ms(1)));
    router.update_executors(support::ms(2), support::table(2, vec![]));
    router.update_executors(support::ms(3), support::table(3, vec![support::executor(1, 2)]));
    for id in 2..6 {
        router.submit(support::ms(4), &support::request(id, "search", support::ms(4)));
    }
    assert_eq!(router.slots_in_use(&support::name("e1")), 2);
}
