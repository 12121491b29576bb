use std::time::Duration;

use comfreymill_batch::action;
use comfreymill_batch::config;
use comfreymill_batch::event;
use comfreymill_types::id;

use super::Harness;
use crate::simulation::{FakeWorker, name, resources, task_view};

fn worker(number: usize) -> FakeWorker {
    let mut worker = FakeWorker::new(number, "hobart-a", resources(16, 64, 0));
    worker.executors = vec![event::ExecutorReport {
        executor: name(&format!("e{number}")),
        service: name("search"),
        reserved: resources(4, 8, 0),
        usage: None,
    }];
    worker
}

fn harness(policy: config::Policy, workers: &mut [FakeWorker]) -> Harness {
    let mut harness = Harness::new(config::Config::new().policy(policy));
    harness.advance_with(6, workers);
    harness
}

/// Runs `secs` seconds in which each worker reports its latency of `millis` every second.
fn measure(harness: &mut Harness, workers: &mut [FakeWorker], secs: u64, millis: &[u64]) {
    for _ in 0..secs {
        harness.advance_with(1, workers);
        for (worker, p99) in workers.iter().zip(millis) {
            harness.send(event::Event::ExecutorLatency(event::LatencyReport {
                worker: worker.name.clone(),
                service: name("search"),
                p99: Duration::from_millis(*p99),
                age: Duration::from_secs(1),
            }));
        }
    }
}

fn throttles(harness: &Harness) -> usize {
    harness.count(|action| matches!(action, action::Action::Throttle { .. }))
}

fn stops(harness: &Harness) -> usize {
    harness.count(|action| matches!(action, action::Action::Stop { .. }))
}

#[test]
fn steps_go_from_throttle_over_checkpoint_to_eviction() {
    let mut workers = [worker(0), worker(1)];
    let mut harness = harness(config::Policy::InterferenceAware, &mut workers);
    measure(&mut harness, &mut workers, 30, &[100, 100]);
    let id = harness.add(task_view(1, "issue", "check"));
    measure(&mut harness, &mut workers, 3, &[100, 100]);
    let slow: Vec<u64> = workers
        .iter()
        .map(|worker| if harness.started_on(id).as_ref() == Some(&worker.name) { 400 } else { 100 })
        .collect();
    measure(&mut harness, &mut workers, 60, &slow);
    let steps: Vec<u8> = harness.actions.iter().filter_map(step).collect();
    assert_eq!(&steps[..4], [b't', b't', b'c', b's'], "{:?}", String::from_utf8(steps.clone()));
}

fn step(action: &action::Action) -> Option<u8> {
    match action {
        action::Action::Throttle { .. } => Some(b't'),
        action::Action::TakeCheckpoint { .. } => Some(b'c'),
        action::Action::Stop { .. } => Some(b's'),
        _ => None,
    }
}

#[test]
fn a_noisy_service_makes_nothing_flap() {
    let mut workers = [worker(0), worker(1)];
    let mut harness = harness(config::Policy::InterferenceAware, &mut workers);
    measure(&mut harness, &mut workers, 30, &[100, 100]);
    harness.add(task_view(1, "issue", "check"));
    for _ in 0..60 {
        measure(&mut harness, &mut workers, 2, &[130, 130]);
        measure(&mut harness, &mut workers, 2, &[90, 90]);
    }
    assert_eq!((throttles(&harness), stops(&harness)), (0, 0));
}

#[test]
fn the_baselines_evict_at_once_or_never() {
    let table = [
        (config::Policy::FirstFit, false),
        (config::Policy::BestFit, false),
        (config::Policy::EvictImmediately, true),
    ];
    for (policy, evicts) in table {
        let mut workers = [worker(0), worker(1)];
        let mut harness = harness(policy, &mut workers);
        measure(&mut harness, &mut workers, 30, &[100, 100]);
        harness.add(task_view(1, "issue", "check"));
        measure(&mut harness, &mut workers, 3, &[100, 100]);
        measure(&mut harness, &mut workers, 1, &[400, 400]);
        assert_eq!(stops(&harness) == 1, evicts, "{policy}");
        assert_eq!(throttles(&harness), 0, "{policy}");
    }
}

#[test]
fn a_noisy_class_is_learned_and_then_placed_elsewhere() {
    let mut workers = [worker(0), worker(1), FakeWorker::new(2, "hobart-a", resources(16, 64, 0))];
    let mut harness = harness(config::Policy::InterferenceAware, &mut workers[..2]);
    measure(&mut harness, &mut workers[..2], 20, &[100, 100]);
    let first = harness.add(task_view(1, "issue", "check"));
    measure(&mut harness, &mut workers[..2], 2, &[100, 100]);
    let slow: Vec<u64> = workers[..2]
        .iter()
        .map(
            |worker| {
                if harness.started_on(first).as_ref() == Some(&worker.name) { 300 } else { 100 }
            },
        )
        .collect();
    measure(&mut harness, &mut workers[..2], 10, &slow);
    harness.heartbeat(&mut workers[2]);
    let next: Vec<id::TaskId> =
        (2..=4).map(|job| harness.add(task_view(job, "issue", "check"))).collect();
    for id in next {
        assert_eq!(harness.started_on(id), Some(workers[2].name.clone()), "{id}");
    }
}

#[test]
fn each_decision_is_explained_with_what_would_change_it() {
    let mut workers = [worker(0)];
    let mut harness = harness(config::Policy::InterferenceAware, &mut workers);
    measure(&mut harness, &mut workers, 30, &[100]);
    let id = harness.add(task_view(1, "issue", "check"));
    measure(&mut harness, &mut workers, 2, &[100]);
    measure(&mut harness, &mut workers, 8, &[500]);
    let records = harness.scheduler.explain(id);
    let text: Vec<String> = records.iter().map(ToString::to_string).collect();
    assert!(text[0].contains("place on w00"), "{text:?}");
    assert!(text[1].contains("throttle to 50%"), "{text:?}");
    assert!(text.iter().all(|line| line.contains("would change with")), "{text:?}");
}

#[test]
fn a_late_report_is_matched_with_what_ran_when_it_was_measured() {
    let mut workers = [worker(0), worker(1)];
    let mut harness = harness(config::Policy::InterferenceAware, &mut workers);
    measure(&mut harness, &mut workers, 30, &[100, 100]);
    let quiet = harness.add(task_view(1, "issue", "check"));
    let on = harness.started_on(quiet).expect("it is placed");
    for _ in 0..15 {
        harness.advance_with(1, &mut workers);
        harness.send(event::Event::ExecutorLatency(event::LatencyReport {
            worker: on.clone(),
            service: name("search"),
            p99: Duration::from_millis(300),
            age: Duration::from_secs(20),
        }));
    }
    let next = harness.add(task_view(2, "issue", "check"));
    let records = harness.scheduler.explain(next);
    let place = records.last().expect("it is placed").to_string();
    assert!(place.contains("expected slowdown 1.01"), "no effect is learned: {place}");
}
