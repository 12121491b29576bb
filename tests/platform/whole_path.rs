use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use super::standin;
use super::test_bed::TestBed;

/// Keys of the jobs, which are the last part of the paths of their requests.
const JOBS: std::ops::Range<u64> = 0x5c0e_7a21_0000_0000..0x5c0e_7a21_0000_003c;
const TASKS: u64 = 100;
const WORKERS: usize = 20;

#[test]
fn jobs_are_run_once_and_the_scheduler_is_idle_afterwards() {
    let bed = TestBed::start();
    let caller = bed.caller();
    let start =
        |number| standin::start_worker(&format!("w-{number}"), bed.get_address(), bed.control());
    let workers: Vec<standin::Started> = (0..WORKERS).map(start).collect();
    for job in JOBS {
        bed.wait("a job to be accepted", || caller.submit(job, TASKS));
    }
    for job in JOBS {
        bed.wait("a job to be completed", || caller.is_completed(job));
    }
    let mut started = Vec::new();
    for worker in &workers {
        started.extend(worker.lock().expect("no thread panics").iter().cloned());
    }
    let tasks: BTreeSet<&str> = started.iter().map(|(task, _)| task.as_str()).collect();
    assert_eq!(tasks.len() as u64, JOBS.count() as u64 * TASKS);
    assert_eq!(started.len(), tasks.len(), "no task was started twice");

    // An asynchronous task that keeps waking itself would use a whole processor even when idle.
    let before = bed.scheduler_cpu();
    thread::sleep(Duration::from_secs(1));
    let used = bed.scheduler_cpu() - before;
    assert!(used < Duration::from_millis(500), "{used:?} of a second were used while idle");
}

/// A leader with three connections to each worker ran out of descriptors and ended.
#[test]
fn a_scheduler_with_many_workers_keeps_to_its_descriptors() {
    keeps_to_its_descriptors(25);
}

#[test]
fn a_scheduler_with_more_workers_than_descriptors_polls_them_in_turn() {
    keeps_to_its_descriptors(70);
}

fn keeps_to_its_descriptors(workers: usize) {
    const DESCRIPTORS: usize = 64;
    let bed = TestBed::with_descriptors(DESCRIPTORS);
    let caller = bed.caller();
    for number in 0..workers {
        standin::start_worker(&format!("w-{number}"), bed.get_address(), bed.control());
    }
    for job in JOBS {
        bed.wait("a job to be accepted", || caller.submit(job, TASKS));
    }
    let mut most = 0;
    for job in JOBS {
        bed.wait("a job to be completed", || caller.is_completed(job));
        most = bed.scheduler_descriptors().max(most);
    }
    assert!(most <= DESCRIPTORS, "{most} descriptors were open");
}

/// Starts that waited behind unanswered ones were sent seconds after the decision, to workers that
/// had said in between that they were leaving.
#[test]
fn a_start_that_waited_behind_unanswered_orders_is_not_sent_late() {
    const JOB: u64 = 0x5c0e_7a21_0000_0000;
    const TASKS: usize = 8;
    let bed = TestBed::start();
    let caller = bed.caller();
    let worker = standin::start_mute_worker("mute", bed.get_address(), bed.control());
    bed.wait("a job to be accepted", || caller.submit(JOB, TASKS as u64));
    bed.wait("the job to be completed", || caller.is_completed(JOB));
    let started = worker.lock().expect("no thread panics");
    let first_placement = started.iter().filter(|(_, run)| *run == 1).count();
    assert!(first_placement < TASKS, "every order was sent, however long it had waited");
}

/// A task that crashed each worker that started it was started on one after the other, without end.
#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    const JOB: u64 = 0x5c0e_7a21_0000_0000;
    const MOST_CRASHES: usize = 3;
    let bed = TestBed::start();
    let caller = bed.caller();
    let start = |number| {
        standin::start_crashing_worker(&format!("w-{number}"), bed.get_address(), bed.control())
    };
    let workers: Vec<standin::Started> = (0..6).map(start).collect();
    bed.wait("a job to be accepted", || caller.submit(JOB, 1));
    bed.wait("the job to fail", || caller.state(JOB).is_some_and(|state| state == "failed"));
    let crashes = workers.iter().map(|worker| worker.lock().expect("no thread panics").len());
    assert!(crashes.sum::<usize>() <= MOST_CRASHES);
    let explanation = bed.explain(JOB);
    assert!(explanation.contains("given up"), "{explanation}");
    assert!(explanation.contains("5c0e7a2100000000.0.0.0"), "{explanation}");
}

/// The capacity of a worker that does not guard it shrinks and grows again while it has runs.
#[test]
fn a_worker_that_shrinks_gets_no_more_than_it_holds() {
    const CHANGED: &str = "a worker's capacity has changed";
    let bed = TestBed::start();
    let caller = bed.caller();
    let cpu_milli = standin::capacity(1_600);
    let start = |name: &str, cpu_milli| {
        standin::start_resizable_worker(name, bed.get_address(), bed.control(), cpu_milli)
    };
    let count = |worker: &standin::Started| worker.lock().expect("no thread panics").len();
    let shrinking = start("shrinking", &cpu_milli);
    bed.wait("a job to be accepted", || caller.submit(1, 4));
    bed.wait("its tasks to be started", || count(&shrinking) == 4);

    cpu_milli.store(800, Ordering::Relaxed);
    bed.wait("the worker to shrink", || bed.has_logged(CHANGED, 1));
    bed.wait("a job to be accepted", || caller.submit(2, 12));
    bed.wait("the worker to be full", || count(&shrinking) >= 8);
    let other = start("other", &standin::capacity(1_600));
    bed.wait("all tasks to be started", || count(&shrinking) + count(&other) == 16);
    assert_eq!(count(&shrinking), 8, "0.8 cores hold 8 tasks of 0.1");

    cpu_milli.store(1_200, Ordering::Relaxed);
    bed.wait("the worker to grow", || bed.has_logged(CHANGED, 2));
    bed.wait("a job to be accepted", || caller.submit(3, 12));
    bed.wait("all tasks to be started", || count(&shrinking) + count(&other) == 28);
    assert_eq!(count(&shrinking), 12, "1.2 cores hold 12 tasks of 0.1");
}

#[test]
fn an_evacuated_zone_gets_no_tasks_until_the_withdrawal() {
    let mut bed = TestBed::start();
    let caller = bed.caller();
    let worker = standin::start_worker("w", bed.get_address(), bed.control());
    let count = || worker.lock().expect("no thread panics").len();
    bed.wait("a job to be accepted", || caller.submit(1, 4));
    bed.wait("the job to be completed", || caller.is_completed(1));

    let order = |method, zone| standin::order_zone(bed.control(), method, zone);
    assert_eq!(order("POST", "nowhere"), Some(404));
    assert_eq!(order("POST", "No-Where"), Some(400));
    assert_eq!(order("PUT", "south"), Some(405));
    assert_eq!(order("DELETE", "south"), Some(200), "it is not evacuated");
    assert_eq!(order("POST", "south"), Some(200));
    assert_eq!(order("POST", "south"), Some(200), "sent again");
    assert_eq!(order("POST", "kingston-b"), Some(200), "a zone of the settings");

    bed.restart_scheduler();
    bed.wait("a job to be accepted", || caller.submit(2, 4));
    let has_evacuated = || bed.zone(&["status"]).matches("evacuated").count() == 2;
    bed.wait("the evacuations to be known", has_evacuated);
    // The worker has answered and has room, and a task of the second job waits nonetheless.
    let waits = r#""with_room":1,"resting":0,"silent":0,"unheard":0,"#;
    bed.wait("a task to wait beside the worker", || bed.has_logged(waits, 1));
    assert!(bed.explain(2).contains("evacuated_zones: kingston-b, south"), "{}", bed.explain(2));
    assert!(bed.zone(&["withdraw", "nowhere"]).contains("not-found"), "the command has an error");
    assert_eq!(count(), 4, "no task of the second job is started");

    bed.zone(&["withdraw", "south", "--by", "ines"]);
    bed.wait("the job to be completed", || caller.is_completed(2));
    assert_eq!(count(), 8);
    let status = bed.zone(&["status"]);
    assert!(status.contains("ines (127."), "{status}");
}

#[test]
fn routes_are_compared_with_those_in_force() {
    let bed = TestBed::start();
    let text = bed.check_routes("platform/tests/routes/new.json");
    assert!(text.contains("from the version in force"), "{text}");
    assert!(text.contains("  version: 1 -> 8\n"), "{text}");
}
