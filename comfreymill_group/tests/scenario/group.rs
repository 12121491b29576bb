use crate::schedule::world::World;
use comfreymill_group::{id, replica};

/// Duration of one step of a scenario, in microseconds.
pub(super) const STEP_MICROS: u64 = 5_000;

/// Creates a group of `voters` voters with a serving leader, and returns it with the position of
/// that leader.
pub(super) fn started(seed: u64, voters: u64) -> (World, usize) {
    let mut world = World::new(seed, voters);
    let leader = wait_for_leader(&mut world);
    (world, leader)
}

/// Advances time until a leader serves, for at most ten seconds, and returns its position.
pub(super) fn wait_for_leader(world: &mut World) -> usize {
    wait_until(world, 10_000, |world| serving(world).is_some());
    serving(world).expect("just seen")
}

/// Advances time until `is_done`, for at most `millis`, and returns the milliseconds taken.
pub(super) fn wait_until<F>(world: &mut World, millis: u64, is_done: F) -> u64
where
    F: Fn(&World) -> bool,
{
    let start = world.now;
    while !is_done(world) {
        assert!(
            world.now - start <= millis * 1_000,
            "not within {millis} ms: {}",
            world.describe()
        );
        world.advance(STEP_MICROS);
    }
    (world.now - start) / 1_000
}

/// Advances time by `millis`.
pub(super) fn pass(world: &mut World, millis: u64) {
    for _ in 0..millis * 1_000 / STEP_MICROS {
        world.advance(STEP_MICROS);
    }
}

/// Returns the position of the leader that has a valid lease and is ready.
pub(super) fn serving(world: &World) -> Option<usize> {
    let is_serving = |position: &usize| {
        let node = &world.nodes[*position];
        let replica = node.replica.as_ref();
        replica
            .is_some_and(|replica| replica.lease_valid(node.clock(world.now)) && replica.is_ready())
    };
    (0..world.nodes.len()).find(is_serving)
}

/// Returns the running replica at `position`.
pub(super) fn replica(world: &World, position: usize) -> &replica::Replica {
    world.nodes[position].replica.as_ref().expect("a running replica")
}

/// Proposes a command at `position`, waits until it is applied and returns its number.
pub(super) fn commit(world: &mut World, position: usize) -> u64 {
    let number = world.propose(position).expect("a serving leader");
    wait_until(world, 2_000, |world| world.checker.is_applied(number));
    number
}

/// Cuts the outgoing links, the incoming links or both of the node at `position`.
pub(super) fn cut(world: &mut World, position: usize, outgoing: bool, incoming: bool) {
    let one = world.nodes[position].voter;
    let others: Vec<id::VoterId> = world.nodes.iter().map(|node| node.voter).collect();
    for other in others.into_iter().filter(|other| *other != one) {
        if outgoing {
            world.network.cuts.insert((one, other));
        }
        if incoming {
            world.network.cuts.insert((other, one));
        }
    }
}
