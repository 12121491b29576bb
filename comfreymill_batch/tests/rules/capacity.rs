use std::time::Duration;

use comfreymill_batch::action;
use comfreymill_batch::config;
use comfreymill_batch::event;
use comfreymill_types::size;

use super::Harness;
use crate::simulation::{FakeWorker, name, resources, task_view};

fn harness(cores: u64) -> (Harness, FakeWorker) {
    let mut harness = Harness::new(config::Config::new());
    let mut worker = FakeWorker::new(0, "hobart-a", resources(cores, 64, 0));
    harness.heartbeat(&mut worker);
    (harness, worker)
}

fn executor(reserved: size::Resources, usage: size::Resources) -> event::ExecutorReport {
    let executor = name("e1");
    event::ExecutorReport { executor, service: name("search"), reserved, usage: Some(usage) }
}

#[test]
fn starts_in_flight_count_until_they_are_lost() {
    let (mut harness, _worker) = harness(3);
    harness.auto_commit = false;
    let first = harness.add(task_view(1, "issue", "check"));
    let second = harness.add(task_view(2, "issue", "check"));
    assert_eq!((harness.starts(first), harness.starts(second)), (1, 0));
    harness.send(event::Event::TaskCancelled(first));
    let start = harness.actions[0].clone();
    harness.send(event::Event::ProposalLost(Box::new(start)));
    assert_eq!((harness.starts(first), harness.starts(second)), (1, 1));
}

#[test]
fn tasks_that_are_stopping_count_until_they_are_gone() {
    let (mut harness, mut worker) = harness(3);
    let first = harness.add(task_view(1, "issue", "check"));
    harness.heartbeat(&mut worker);
    let second = harness.add(task_view(2, "issue", "check"));
    harness.send(event::Event::TaskCancelled(first));
    harness.heartbeat(&mut worker);
    assert_eq!(harness.starts(second), 0, "the stop was sent and not confirmed");
    harness.heartbeat(&mut worker);
    assert_eq!(harness.starts(second), 1, "the stop was confirmed");
}

#[test]
fn a_start_that_was_never_listed_is_taken_back_at_once() {
    let (mut harness, _worker) = harness(3);
    let first = harness.add(task_view(1, "issue", "check"));
    let second = harness.add(task_view(2, "issue", "check"));
    harness.send(event::Event::TaskCancelled(first));
    assert_eq!(harness.starts(second), 1);
}

#[test]
fn what_executors_use_beyond_their_reservation_counts() {
    // Reserved and used cores of the executor; whether a task of 2 cores fits beside it into 8.
    let table = [(2, 1, true), (7, 1, false), (2, 7, false), (6, 6, true)];
    for (reserved, used, fits) in table {
        let (mut harness, mut worker) = harness(8);
        worker.executors = vec![executor(resources(reserved, 1, 0), resources(used, 1, 0))];
        harness.heartbeat(&mut worker);
        let id = harness.add(task_view(1, "issue", "check"));
        assert_eq!(harness.starts(id) == 1, fits, "reserved {reserved}, used {used}");
    }
}

#[test]
fn tasks_are_evicted_when_executors_need_their_room() {
    let (mut harness, mut worker) = harness(4);
    let first = harness.add(task_view(1, "issue", "check"));
    harness.add(task_view(2, "issue", "check"));
    harness.heartbeat(&mut worker);
    worker.executors = vec![executor(resources(2, 1, 0), resources(1, 1, 0))];
    harness.advance_with(8, std::slice::from_mut(&mut worker));
    let stopped = harness.count(|action| matches!(action, action::Action::Stop { .. }));
    assert_eq!(stopped, 1, "one of two tasks is enough");
    assert_eq!(harness.starts(first), 1, "there is no room for it again");
}

#[test]
fn accelerators_are_left_to_tasks_that_need_them() {
    let mut harness = Harness::new(config::Config::new());
    let mut plain = FakeWorker::new(0, "hobart-a", resources(8, 32, 0));
    let mut with_accelerator = FakeWorker::new(1, "hobart-a", resources(8, 32, 1));
    harness.heartbeat(&mut with_accelerator);
    harness.heartbeat(&mut plain);
    let check = harness.add(task_view(1, "issue", "check"));
    let render = harness.add(task_view(2, "issue", "render"));
    assert_eq!(harness.started_on(check), Some(plain.name));
    assert_eq!(harness.started_on(render), Some(with_accelerator.name));
}

#[test]
fn a_silent_worker_is_given_nothing() {
    let (mut harness, mut worker) = harness(8);
    harness.advance(Duration::from_secs(4));
    let id = harness.add(task_view(1, "issue", "check"));
    assert_eq!(harness.starts(id), 0);
    harness.heartbeat(&mut worker);
    assert_eq!(harness.starts(id), 1);
}

#[test]
fn a_leaving_worker_is_drained_and_given_nothing() {
    let (mut harness, worker) = harness(8);
    let mut workers = [worker, FakeWorker::new(1, "hobart-a", resources(8, 32, 0))];
    let id = harness.add(task_view(1, "issue", "check"));
    harness.advance_with(2, &mut workers);
    let leaving = workers[0].name.clone();
    harness.send(event::Event::WorkerLeaving(leaving));
    harness.advance_with(8, &mut workers);
    assert_eq!(harness.started_on(id), Some(workers[1].name.clone()));
    assert_eq!(harness.starts(id), 2);
}
