//! Open jobs go on whatever a version of the routes does to the queue that they were submitted to.

use comfreymill_jobs::id::JobKey;
use comfreymill_jobs::routes::{Pool, Queue};
use comfreymill_jobs::scheduler::StartAnswer;
use comfreymill_jobs::state::{JobStatus, State};
use comfreymill_jobs::worker::EndKind;

use crate::support::{KEY, Leader, Start, ended, queue, spec, step};

/// Returns a leader whose worker has begun the first of two steps of a job, with the run.
fn with_begun_job() -> (Leader, Start) {
    let mut leader = Leader::new();
    leader.worker("w");
    let second = comfreymill_jobs::job::StepSpec { depends_on: vec![0], ..step(1) };
    leader.submit(spec(vec![step(1), second]));
    let start = leader.take_starts()[0];
    leader.started(&start, StartAnswer::Started);
    (leader, start)
}

/// Ends the runs of both steps; the second one begins only where the queue is known.
fn complete(leader: &mut Leader, first: &Start, when: &str) {
    leader.report(first.worker, ended(vec![first.end(1, EndKind::Done)]));
    let starts = leader.take_starts();
    assert_eq!(starts.iter().map(|start| start.task.step.step).collect::<Vec<_>>(), [1], "{when}");
    leader.started(&starts[0], StartAnswer::Started);
    leader.report(starts[0].worker, ended(vec![starts[0].end(2, EndKind::Done)]));
    assert_eq!(leader.state.get_jobs()[&KEY].status, JobStatus::Completed, "{when}");
}

/// Returns a leader that starts from a snapshot of the state.
fn restored(leader: &Leader) -> Leader {
    let data = leader.state.to_snapshot().expect("the state is encoded");
    let state = State::from_snapshot(&data).expect("the state is decoded");
    assert_eq!(state, leader.state);
    let mut next = Leader::from_state(state, leader.now).into_next_leader();
    next.settle();
    next
}

fn in_pool(queue: Queue, pool: &str) -> Queue {
    Queue { pool: pool.to_owned(), ..queue }
}

fn count_open_jobs_of(leader: &Leader, queue: &str) -> usize {
    let jobs = leader.state.get_jobs().values();
    jobs.filter(|job| !job.is_over() && job.queue == queue).count()
}

/// The case that the review found: the second step was never started.
#[test]
fn an_open_job_goes_on_after_its_route_is_renamed() {
    let (mut leader, first) = with_begun_job();
    leader.set_queues(vec![queue("renamed", "/batch/")]);
    assert_eq!(count_open_jobs_of(&leader, "renamed"), 1);
    assert!(leader.state.get_removed_queues().is_empty());
    complete(&mut leader, &first, "renamed");
}

#[test]
fn an_open_job_goes_on_after_its_route_is_removed() {
    let (mut leader, first) = with_begun_job();
    leader.set_queues(vec![queue("other", "/other/")]);
    assert!(
        leader.state.get_routes().expect("routes").table.find("jobs.example", "/batch/1").is_none()
    );
    complete(&mut leader, &first, "removed");
}

#[test]
fn an_open_job_goes_on_under_the_next_leader_after_a_change_of_routes() {
    for queues in [vec![queue("renamed", "/batch/")], vec![queue("other", "/other/")]] {
        let (mut leader, first) = with_begun_job();
        leader.set_queues(queues);
        let mut next = restored(&leader);
        next.report(first.worker, crate::support::running(&[first]));
        complete(&mut next, &first, "next leader");
    }
}

/// A task that waited for room when the route was renamed was never started either.
#[test]
fn waiting_jobs_count_and_start_under_the_new_name() {
    let mut leader = Leader::new();
    leader.submit(spec(vec![step(2)]));
    leader.set_queues(vec![queue("renamed", "/batch/")]);
    assert_eq!(leader.scheduler.count_waiting_jobs("renamed"), 1);
    leader.worker("w");
    assert_eq!(leader.take_starts().len(), 2);
}

#[test]
fn jobs_stay_with_their_paths_when_routes_swap_names() {
    let mut leader = Leader::new();
    leader.set_queues(vec![queue("a", "/a/"), queue("b", "/b/")]);
    let key = JobKey::new(7);
    for (key, queue) in [(7, "a"), (8, "b")] {
        leader.submit_to(queue, key, spec(vec![step(1)]));
    }
    leader.set_queues(vec![queue("a", "/b/"), queue("b", "/a/")]);
    assert_eq!(leader.state.get_jobs()[&key].queue, "b");
    assert_eq!(leader.state.get_jobs()[&JobKey::new(8)].queue, "a");
}

/// The name of a removed route may be given to another one, with another pool.
#[test]
fn a_job_is_not_taken_over_by_another_path_with_its_routes_name() {
    let (mut leader, first) = with_begun_job();
    leader.add_pool("others");
    leader.set_queues(vec![in_pool(queue("batch", "/other/"), "others")]);
    assert_eq!(count_open_jobs_of(&leader, "batch"), 0);
    assert_eq!(leader.state.get_removed_queues().len(), 1);
    leader.submit_as(9, spec(vec![step(1)]));
    assert_eq!(leader.scheduler.count_waiting_jobs("batch"), 1, "the one that was submitted now");
    complete(&mut leader, &first, "its name is another route's");
}

#[test]
fn a_job_follows_its_path_when_the_route_comes_back_with_another_pool() {
    let (mut leader, first) = with_begun_job();
    leader.add_pool("others");
    leader.set_queues(Vec::new());
    leader.set_queues(vec![in_pool(queue("again", "/batch/"), "others")]);
    assert!(leader.state.get_removed_queues().is_empty());
    leader.report(first.worker, ended(vec![first.end(1, EndKind::Done)]));
    assert!(leader.take_starts().is_empty(), "no worker of the pool");
    let other = leader.announcement("x", 10);
    leader.announce(comfreymill_jobs::worker::Announcement { pool: "others".to_owned(), ..other });
    leader.worker_reports_nothing("x");
    assert_eq!(leader.take_starts().len(), 1);
}

#[test]
fn workers_join_a_removed_queues_pool_while_it_has_open_jobs() {
    let (mut leader, _) = with_begun_job();
    let pool = Pool { name: "others".to_owned(), is_guarded: true, is_standby: false };
    leader.set_routes(vec![in_pool(queue("other", "/other/"), "others")], vec![pool]);
    leader.worker("x");
    assert_eq!(leader.state.get_workers().len(), 2);
}

/// What is kept of a removed queue is bounded by its open jobs.
#[test]
fn a_removed_queue_is_forgotten_once_its_jobs_are_over() {
    let (mut leader, first) = with_begun_job();
    for version in 0..5 {
        leader.set_queues(vec![queue(&format!("other-{version}"), "/other/")]);
        assert_eq!(leader.state.get_removed_queues().len(), 1);
    }
    complete(&mut leader, &first, "removed for five versions");
    leader.set_queues(vec![queue("last", "/other/")]);
    assert!(leader.state.get_removed_queues().is_empty());
}
