use std::time::Duration;

use comfreymill_batch::action;
use comfreymill_batch::config;
use comfreymill_batch::event;

use super::Harness;
use crate::simulation::{FakeWorker, resources, task_view};

/// Team and class of a job.
type Job = (&'static str, &'static str);

/// Queues the jobs, waits for `waits` after the first one, then adds a worker that holds them all.
/// Returns the job numbers in order of start.
fn order(jobs: &[Job], waits: Duration) -> Vec<u64> {
    let cfg = config::Config::new().ageing(Duration::from_secs(600));
    let mut harness = Harness::new(cfg);
    let mut worker = FakeWorker::new(0, "hobart-a", resources(64, 64, 0));
    for (i, (team, class)) in jobs.iter().enumerate() {
        harness.add(task_view(i as u64 + 1, team, class));
        if i == 0 {
            harness.now = harness.now + waits;
        }
    }
    harness.heartbeat(&mut worker);
    harness.order_of_starts()
}

#[test]
fn urgent_work_goes_first_then_priority_then_share_then_submission() {
    let table: [(&[Job], &[u64]); 4] = [
        (&[("issue", "idle"), ("issue", "check"), ("issue", "rush")], &[3, 2, 1]),
        (&[("issue", "check"), ("issue", "check")], &[1, 2]),
        (&[("issue", "check"), ("issue", "check"), ("watchers", "check")], &[1, 3, 2]),
        (
            &[
                ("watchers", "check"),
                ("watchers", "check"),
                ("issue", "check"),
                ("issue", "check"),
                ("issue", "check"),
            ],
            &[1, 3, 4, 2, 5],
        ),
    ];
    for (jobs, expected) in table {
        assert_eq!(order(jobs, Duration::ZERO), expected, "{jobs:?}");
    }
}

#[test]
fn waiting_raises_the_priority_up_to_high() {
    let jobs = [("issue", "idle"), ("issue", "check"), ("issue", "rush")];
    assert_eq!(order(&jobs, Duration::from_secs(599)), [3, 2, 1]);
    assert_eq!(order(&jobs, Duration::from_secs(1_200)), [3, 1, 2]);
}

#[test]
fn a_quota_holds_and_is_given_back() {
    let mut harness = Harness::new(config::Config::new());
    let mut worker = FakeWorker::new(0, "hobart-a", resources(64, 64, 0));
    harness.heartbeat(&mut worker);
    let ids: Vec<_> = (1..=3).map(|job| harness.add(task_view(job, "small", "check"))).collect();
    assert_eq!(harness.order_of_starts(), [1, 2], "the quota is 4 cores");
    let wait = harness.scheduler.explain(ids[2]).pop().expect("it waits");
    assert!(wait.reason.contains("quota"), "{wait}");
    harness.send(event::Event::TaskCancelled(ids[0]));
    assert_eq!(harness.order_of_starts(), [1, 2, 3]);
}

#[test]
fn urgent_work_preempts_less_urgent_work() {
    let mut harness = Harness::new(config::Config::new());
    let mut workers = [FakeWorker::new(0, "hobart-a", resources(4, 64, 0))];
    harness.advance_with(6, &mut workers);
    let low = harness.add(task_view(1, "issue", "idle"));
    let once = harness.add(task_view(2, "issue", "certificate"));
    let check = harness.add(task_view(3, "issue", "check"));
    harness.advance_with(2, &mut workers);
    let urgent = harness.add(task_view(4, "issue", "rush"));
    harness.advance_with(7, &mut workers);
    assert_eq!(harness.starts(urgent), 1, "within 7 s");
    let stops = harness.count(|action| matches!(action, action::Action::Stop { .. }));
    assert!((1..=2).contains(&stops));
    assert_eq!(harness.starts(once), 1, "what may run at most once is left alone");
    assert_eq!((harness.starts(low), harness.starts(check)), (1, 1), "no room for both again");
}

#[test]
fn a_burst_of_cancels_leaves_nothing_and_lets_urgent_work_start() {
    let mut harness = Harness::new(config::Config::new());
    let mut worker = FakeWorker::new(0, "hobart-a", resources(4, 64, 0));
    harness.heartbeat(&mut worker);
    let ids: Vec<_> =
        (1..=1_000).map(|job| harness.add(task_view(job, "issue", "check"))).collect();
    for id in &ids {
        harness.send(event::Event::TaskCancelled(*id));
        harness.send(event::Event::TaskCancelled(*id));
    }
    let urgent = harness.add(task_view(2_000, "issue", "rush"));
    let status = harness.scheduler.get_status();
    assert_eq!((status.waiting, status.active), (0, 1));
    assert_eq!(harness.starts(urgent), 1, "without time passing");
}
