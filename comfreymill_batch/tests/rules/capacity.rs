use std::time::Duration;

use comfreymill_batch::action;
use comfreymill_batch::config;
use comfreymill_batch::event;
use comfreymill_types::size;

use super::Desk;
use crate::world::{FakeWorker, name, resources, task_view};

fn desk(cores: u64) -> (Desk, FakeWorker) {
    let mut desk = Desk::new(config::Config::new());
    let mut worker = FakeWorker::new(0, "hobart-a", resources(cores, 64, 0));
    desk.beat(&mut worker);
    (desk, worker)
}

fn executor(reserved: size::Resources, usage: size::Resources) -> event::ExecutorReport {
    let executor = name("e1");
    event::ExecutorReport { executor, service: name("search"), reserved, usage: Some(usage) }
}

#[test]
fn starts_in_flight_count_until_they_are_lost() {
    let (mut desk, _worker) = desk(3);
    desk.commits = false;
    let first = desk.add(task_view(1, "issue", "check"));
    let second = desk.add(task_view(2, "issue", "check"));
    assert_eq!((desk.starts(first), desk.starts(second)), (1, 0));
    desk.tell(event::Event::TaskCancelled(first));
    let start = desk.actions[0].clone();
    desk.tell(event::Event::ProposalLost(Box::new(start)));
    assert_eq!((desk.starts(first), desk.starts(second)), (1, 1));
}

#[test]
fn tasks_that_are_stopping_count_until_they_are_gone() {
    let (mut desk, mut worker) = desk(3);
    let first = desk.add(task_view(1, "issue", "check"));
    desk.beat(&mut worker);
    let second = desk.add(task_view(2, "issue", "check"));
    desk.tell(event::Event::TaskCancelled(first));
    desk.beat(&mut worker);
    assert_eq!(desk.starts(second), 0, "the stop was told and not confirmed");
    desk.beat(&mut worker);
    assert_eq!(desk.starts(second), 1, "the stop was confirmed");
}

#[test]
fn a_start_that_was_never_listed_is_taken_back_at_once() {
    let (mut desk, _worker) = desk(3);
    let first = desk.add(task_view(1, "issue", "check"));
    let second = desk.add(task_view(2, "issue", "check"));
    desk.tell(event::Event::TaskCancelled(first));
    assert_eq!(desk.starts(second), 1);
}

#[test]
fn what_executors_use_beyond_their_reservation_counts() {
    // Reserved and used cores of the executor; whether a task of 2 cores fits beside it into 8.
    let table = [(2, 1, true), (7, 1, false), (2, 7, false), (6, 6, true)];
    for (reserved, used, fits) in table {
        let (mut desk, mut worker) = desk(8);
        worker.executors = vec![executor(resources(reserved, 1, 0), resources(used, 1, 0))];
        desk.beat(&mut worker);
        let id = desk.add(task_view(1, "issue", "check"));
        assert_eq!(desk.starts(id) == 1, fits, "reserved {reserved}, used {used}");
    }
}

#[test]
fn tasks_make_room_for_executors_that_come_unasked() {
    let (mut desk, mut worker) = desk(4);
    let first = desk.add(task_view(1, "issue", "check"));
    desk.add(task_view(2, "issue", "check"));
    desk.beat(&mut worker);
    worker.executors = vec![executor(resources(2, 1, 0), resources(1, 1, 0))];
    desk.pass_with(8, std::slice::from_mut(&mut worker));
    let stopped = desk.count(|action| matches!(action, action::Action::Stop { .. }));
    assert_eq!(stopped, 1, "one of two tasks is enough");
    assert_eq!(desk.starts(first), 1, "there is no room for it again");
}

#[test]
fn accelerators_are_left_to_tasks_that_need_them() {
    let mut desk = Desk::new(config::Config::new());
    let mut plain = FakeWorker::new(0, "hobart-a", resources(8, 32, 0));
    let mut rich = FakeWorker::new(1, "hobart-a", resources(8, 32, 1));
    desk.beat(&mut rich);
    desk.beat(&mut plain);
    let check = desk.add(task_view(1, "issue", "check"));
    let render = desk.add(task_view(2, "issue", "render"));
    assert_eq!(desk.started_on(check), Some(plain.name));
    assert_eq!(desk.started_on(render), Some(rich.name));
}

#[test]
fn a_silent_worker_is_given_nothing() {
    let (mut desk, mut worker) = desk(8);
    desk.pass(Duration::from_secs(4));
    let id = desk.add(task_view(1, "issue", "check"));
    assert_eq!(desk.starts(id), 0);
    desk.beat(&mut worker);
    assert_eq!(desk.starts(id), 1);
}

#[test]
fn a_leaving_worker_is_emptied_and_given_nothing() {
    let (mut desk, worker) = desk(8);
    let mut workers = [worker, FakeWorker::new(1, "hobart-a", resources(8, 32, 0))];
    let id = desk.add(task_view(1, "issue", "check"));
    desk.pass_with(2, &mut workers);
    let leaving = workers[0].name.clone();
    desk.tell(event::Event::WorkerLeaving(leaving));
    desk.pass_with(8, &mut workers);
    assert_eq!(desk.started_on(id), Some(workers[1].name.clone()));
    assert_eq!(desk.starts(id), 2);
}
