use comfreymill_route::router;
use comfreymill_types::error::{ErrorKind, RunState};

use crate::support;

/// Request that is refused at admission, with the expected error.
struct Case {
    name: &'static str,
    kind: ErrorKind,
    has_retry_after: bool,
    submit: fn() -> router::Admission,
}

const CASES: &[Case] = &[
    Case { name: "draining", kind: ErrorKind::Draining, has_retry_after: true, submit: draining },
    Case { name: "class", kind: ErrorKind::NotFound, has_retry_after: false, submit: no_class },
    Case { name: "key", kind: ErrorKind::KeyRequired, has_retry_after: false, submit: no_key },
    Case { name: "empty", kind: ErrorKind::NoExecutor, has_retry_after: true, submit: no_executor },
    Case { name: "zone", kind: ErrorKind::NoExecutor, has_retry_after: true, submit: no_zone },
    Case { name: "late", kind: ErrorKind::ExpiredInQueue, has_retry_after: false, submit: late },
    Case { name: "wait", kind: ErrorKind::Overloaded, has_retry_after: true, submit: long_wait },
    Case { name: "full", kind: ErrorKind::QueueFull, has_retry_after: true, submit: full_queue },
];

fn submit(router: &mut router::Router, id: u64, class: &str) -> router::Admission {
    router.submit(support::ms(10), &support::request(id, class, support::ms(10)))
}

fn draining() -> router::Admission {
    let mut router = support::router(support::config(), 1, 1);
    router.start_draining();
    submit(&mut router, 1, "search")
}

fn no_class() -> router::Admission {
    submit(&mut support::router(support::config(), 1, 1), 1, "unheard-of")
}

fn no_key() -> router::Admission {
    submit(&mut support::router(support::config(), 1, 1), 1, "certificate")
}

fn no_executor() -> router::Admission {
    submit(&mut support::router(support::config(), 0, 1), 1, "search")
}

fn no_zone() -> router::Admission {
    submit(&mut support::router(support::config(), 1, 1), 1, "north-only")
}

fn late() -> router::Admission {
    let mut router = support::router(support::config(), 1, 1);
    router.submit(support::ms(500), &support::request(1, "search", support::ms(10)))
}

fn long_wait() -> router::Admission {
    let mut router = support::router(support::config(), 1, 0);
    submit(&mut router, 1, "search")
}

fn full_queue() -> router::Admission {
    let mut router = support::router(support::config(), 1, 1);
    for id in 0..9 {
        submit(&mut router, id, "search");
    }
    submit(&mut router, 9, "search")
}

#[test]
fn each_refusal_has_its_kind_and_says_not_run() {
    for case in CASES {
        let admission = (case.submit)();
        let router::Admission::Refused(error) = admission else {
            panic!("{}: {admission:?}", case.name);
        };
        assert_eq!(error.get_kind(), case.kind, "{}", case.name);
        assert_eq!(error.get_kind().get_properties().run, RunState::NotRun, "{}", case.name);
        assert_eq!(error.get_retry_after().is_some(), case.has_retry_after, "{}", case.name);
    }
}

#[test]
fn a_refused_request_leaves_nothing_behind() {
    let mut router = support::router(support::config(), 1, 0);
    submit(&mut router, 1, "search");
    assert_eq!(router.open_requests(), 0);
    assert_eq!(router.queued_requests(), 0);
    let decision = router.explain(1).expect("the record is kept");
    assert!(matches!(decision.steps[..], [router::Step::Refused { .. }]));
}

#[test]
fn an_unrepeatable_request_with_a_key_is_sent() {
    let mut router = support::router(support::config(), 1, 1);
    let mut req = support::request(1, "certificate", support::ms(1));
    req.keyed = true;
    let admission = router.submit(support::ms(1), &req);
    assert_eq!(support::sent_to(&admission), support::name("e1"));
}
