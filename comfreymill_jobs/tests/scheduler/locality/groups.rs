use std::time::Duration;

use comfreymill_jobs::id::JobKey;
use comfreymill_jobs::job::StepSpec;
use comfreymill_jobs::scheduler::RemoteFactor;
use comfreymill_jobs::state::{Command, Submission};

use super::world::World;
use crate::support::{spec, step};

const GROUP: u64 = 9;

fn group(count: u16) -> StepSpec {
    StepSpec { is_rack_sensitive: true, ..step(count) }
}

/// Two racks of two workers with eight places each, of which `used` are taken.
fn world(used: [u16; 2]) -> World {
    let mut world = World::new(2, 2, RemoteFactor::from_percent(300), true);
    for (index, count) in used.into_iter().enumerate() {
        let rack = format!("r{index}");
        world.submit(index as u64 + 1, count, Duration::from_millis(800), Some(&rack));
    }
    world
}

fn racks_of_group(world: &World) -> Vec<&str> {
    let starts = world.starts_of(GROUP, world.leader.now);
    starts.into_iter().map(|(rack, _)| rack).collect()
}

/// Before, tasks were packed on the fullest workers, on both racks.
#[test]
fn a_rack_sensitive_step_goes_to_the_rack_that_holds_all_of_it() {
    let mut world = world([10, 4]);
    world.submit_step(GROUP, Duration::from_millis(800), group(10));
    assert_eq!(racks_of_group(&world), ["r1"; 10]);
}

#[test]
fn a_rack_sensitive_step_waits_for_the_rack_that_holds_all_of_it_first() {
    let mut world = world([8, 10]);
    world.run(60);
    world.submit_step(GROUP, Duration::from_millis(800), group(14));
    world.run(40);
    let racks = racks_of_group(&world);
    assert_eq!(racks.len(), 14);
    assert!(racks.iter().all(|rack| *rack == racks[0]), "{racks:?}");
}

#[test]
fn a_step_that_no_rack_holds_goes_anywhere_at_once() {
    let mut world = world([0, 0]);
    world.submit_step(GROUP, Duration::from_millis(800), group(20));
    assert_eq!(racks_of_group(&world).len(), 20);
}

/// A choice of a rack looks at all workers, so a turn has room for only a few of them.
#[test]
fn choices_of_racks_count_as_work_of_a_turn() {
    let mut leader = World::new(24, 20, RemoteFactor::from_percent(300), true).leader;
    let submission = |key| {
        let (job, queue) = (JobKey::new(key), "batch".to_owned());
        Submission { job, queue, max_attempts: 2, spec: spec(vec![group(2)]) }
    };
    leader.commit((0..20).map(|key| Command::Submit(Box::new(submission(key)))).collect());
    leader.scheduler.place(leader.now);
    assert!(leader.scheduler.has_placement_left(), "20 choices among 480 workers in one turn");
    leader.settle();
    assert_eq!(leader.take_starts().len(), 40);
}
