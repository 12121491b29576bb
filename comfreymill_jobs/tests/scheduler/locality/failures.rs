use std::time::Duration;

use comfreymill_jobs::id::WorkerNumber;
use comfreymill_jobs::scheduler::RemoteFactor;
use comfreymill_types::time::Monotonic;

use super::world::World;

const FILL: u64 = 1;
const WAITING: u64 = 2;

/// Two racks of one worker, of which the first is full for another 200 ms, and a job of two tasks
/// that waits for it. Returns the worker there and the time of the submission.
fn waiting_world(is_enabled: bool) -> (World, WorkerNumber, Monotonic) {
    waiting_world_of(1, is_enabled)
}

fn waiting_world_of(size: u16, is_enabled: bool) -> (World, WorkerNumber, Monotonic) {
    let factor = RemoteFactor::from_percent(300);
    let mut world = World::new(2, u64::from(size), factor, is_enabled);
    world.submit(FILL, 8 * size, Duration::from_millis(800), Some("r0"));
    world.run(60);
    let submitted_at = world.leader.now;
    world.submit(WAITING, 2, Duration::from_millis(800), Some("r0"));
    let first = *world.racks.first_key_value().expect("a worker").0;
    (world, first, submitted_at)
}

#[test]
fn a_step_waits_for_its_rack_and_starts_there() {
    let (mut world, _, submitted_at) = waiting_world(true);
    let job = comfreymill_jobs::id::JobKey::new(WAITING);
    let waits = world.leader.scheduler.get_rack_waits(world.leader.now, job);
    assert_eq!(waits.len(), 1);
    assert_eq!((waits[0].rack.as_str(), waits[0].extra.as_millis()), ("r0", 1_600));
    world.run(40);
    let starts = world.starts_of(WAITING, submitted_at);
    assert_eq!(starts.len(), 2);
    for (rack, waited) in starts {
        assert!(rack == "r0" && waited <= Duration::from_millis(250), "{rack} after {waited:?}");
    }
    let counts = world.leader.scheduler.take_locality_counts();
    assert_eq!((counts.near, counts.away, counts.waits), (10, 0, 1));
    assert!(counts.waited > Duration::ZERO);
}

#[test]
fn without_the_factor_a_step_goes_elsewhere_at_once() {
    let (world, _, submitted_at) = waiting_world(false);
    assert_eq!(world.starts_of(WAITING, submitted_at), vec![("r1", Duration::ZERO); 2]);
}

#[test]
fn a_wait_ends_at_once_when_the_rack_leaves() {
    let (mut world, first, submitted_at) = waiting_world(true);
    assert_eq!(world.starts_of(WAITING, submitted_at), vec![]);
    world.leave(first);
    assert_eq!(world.starts_of(WAITING, submitted_at), vec![("r1", Duration::ZERO); 2]);
}

#[test]
fn a_wait_ends_when_the_zone_of_the_rack_is_evacuated() {
    let (mut world, _, submitted_at) = waiting_world(true);
    world.evacuate(0);
    world.run(10);
    let starts = world.starts_of(WAITING, submitted_at);
    assert_eq!(starts.len(), 2);
    for (rack, waited) in starts {
        assert!(rack == "r1" && waited <= Duration::from_millis(100), "{rack} after {waited:?}");
    }
}

#[test]
fn a_wait_ends_when_the_rack_has_no_worker_that_answers() {
    let (mut world, first, submitted_at) = waiting_world(true);
    world.crash(first);
    world.run(10);
    let starts = world.starts_of(WAITING, submitted_at);
    assert_eq!(starts.len(), 2);
    for (rack, waited) in starts {
        assert!(rack == "r1" && waited <= Duration::from_millis(100), "{rack} after {waited:?}");
    }
}

#[test]
fn a_wait_goes_on_when_another_worker_of_the_rack_is_left() {
    let (mut world, first, submitted_at) = waiting_world_of(2, true);
    world.crash(first);
    world.run(40);
    let starts = world.starts_of(WAITING, submitted_at);
    assert_eq!(starts.len(), 2);
    assert!(starts.iter().all(|(rack, _)| *rack == "r0"), "{starts:?}");
}

#[test]
fn the_next_leader_weighs_the_wait_anew() {
    let (mut world, _, submitted_at) = waiting_world(true);
    world.change_leader();
    assert_eq!(world.starts_of(WAITING, submitted_at), vec![]);
    world.run(40);
    let starts = world.starts_of(WAITING, submitted_at);
    assert_eq!(starts.len(), 2);
    assert!(starts.iter().all(|(rack, _)| *rack == "r0"), "{starts:?}");
}
