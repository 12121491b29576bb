use std::time::Duration;

use comfreymill_batch::action;
use comfreymill_batch::config;
use comfreymill_types::document;
use comfreymill_types::error;

use super::Harness;
use crate::simulation::{FakeWorker, name, resources, task_view};

fn harness() -> (Harness, [FakeWorker; 2]) {
    let mut harness = Harness::new(config::Config::new());
    let mut workers = [
        FakeWorker::new(0, "hobart-a", resources(4, 16, 0)),
        FakeWorker::new(1, "kingston-b", resources(16, 64, 0)),
    ];
    harness.advance_with(6, &mut workers);
    (harness, workers)
}

#[test]
fn a_size_that_no_allowed_worker_holds_is_refused() {
    let (harness, _) = harness();
    let never = Some(error::ErrorKind::NeverFits);
    let table = [
        ("issue", "check", None, None),
        ("issue", "check", Some(resources(16, 64, 0)), None),
        ("issue", "check", Some(resources(17, 1, 0)), never),
        ("issue", "check", Some(resources(1, 65, 0)), never),
        ("issue", "render", None, never),
        ("issue", "local", Some(resources(4, 16, 0)), None),
        ("issue", "local", Some(resources(5, 16, 0)), never),
        ("small", "check", Some(resources(5, 1, 0)), never),
        ("issue", "search", None, Some(error::ErrorKind::NotFound)),
        ("issue", "nothing", None, Some(error::ErrorKind::NotFound)),
    ];
    for (team, class, size, expected) in table {
        let stage = document::Stage::Production;
        let checked = harness.scheduler.check_submission(stage, &name(team), &name(class), size);
        let kind = checked.err().map(|error| error.get_kind());
        assert_eq!(kind, expected, "{team} {class} {size:?}");
    }
}

#[test]
fn a_leader_that_does_not_know_its_workers_refuses_and_parks_nothing() {
    let mut harness = Harness::new(config::Config::new());
    harness.advance(Duration::from_secs(60));
    let stage = document::Stage::Production;
    let checked = harness.scheduler.check_submission(stage, &name("issue"), &name("render"), None);
    assert_eq!(checked, Ok(()));
    let id = harness.add(task_view(1, "issue", "render"));
    assert_eq!(harness.scheduler.get_park_reason(id), None);
}

#[test]
fn what_never_fits_is_parked_until_a_worker_that_holds_it_joins() {
    let (mut harness, mut workers) = harness();
    let id = harness.add(task_view(1, "issue", "render"));
    let reason = harness.scheduler.get_park_reason(id).expect("it is parked").clone();
    assert!(matches!(reason, action::ParkReason::NeverFits { .. }));
    assert!(reason.get_remedy().contains("1 accelerators"), "{}", reason.get_remedy());
    let other = harness.add(task_view(2, "issue", "check"));
    assert_eq!(harness.starts(other), 1, "work behind it goes on");
    let mut with_accelerator = FakeWorker::new(2, "hobart-a", resources(8, 32, 1));
    harness.heartbeat(&mut with_accelerator);
    assert_eq!(harness.started_on(id), Some(with_accelerator.name));
    harness.advance_with(1, &mut workers);
    assert_eq!(harness.starts(id), 1);
}

#[test]
fn what_exceeds_its_quota_is_parked_with_the_reason() {
    let (mut harness, _) = harness();
    let mut view = task_view(1, "small", "check");
    view.size = Some(resources(5, 1, 0));
    let id = harness.add(view);
    let reason = harness.scheduler.get_park_reason(id);
    assert!(matches!(reason, Some(action::ParkReason::OverQuota { .. })), "{reason:?}");
}
