use crate::schedule::world::World;
use comfreymill_group::{id, replica};

/// Time that one step of a scenario takes.
pub(super) const STEP_MICROS: u64 = 5_000;

/// Group of `voters` voters that has a serving leader; returns its position too.
pub(super) fn started(seed: u64, voters: u64) -> (World, usize) {
    let mut world = World::new(seed, voters);
    let leader = wait_for_leader(&mut world);
    (world, leader)
}

/// Lets time pass until a leader serves, for at most ten seconds.
pub(super) fn wait_for_leader(world: &mut World) -> usize {
    wait_until(world, 10_000, |world| serving(world).is_some());
    serving(world).expect("just seen")
}

/// Lets time pass until `is_done`, for at most `millis`; returns the milliseconds taken.
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

/// Lets `millis` pass.
pub(super) fn pass(world: &mut World, millis: u64) {
    for _ in 0..millis * 1_000 / STEP_MICROS {
        world.advance(STEP_MICROS);
    }
}

/// Position of the replica that leads with a valid lease and is ready.
pub(super) fn serving(world: &World) -> Option<usize> {
    let is_serving = |position: &usize| {
        let node = &world.nodes[*position];
        let replica = node.replica.as_ref();
        replica.is_some_and(|it| it.lease_valid(node.clock(world.now)) && it.is_ready())
    };
    (0..world.nodes.len()).find(is_serving)
}

/// Replica at `position`, which runs.
pub(super) fn replica(world: &World, position: usize) -> &replica::Replica {
    world.nodes[position].replica.as_ref().expect("a running replica")
}

/// Proposes a command at `position` and waits until it is applied.
pub(super) fn commit(world: &mut World, position: usize) -> u64 {
    let number = world.propose(position).expect("a serving leader");
    wait_until(world, 2_000, |world| world.checker.is_applied(number));
    number
}

/// Cuts all links of the node at `position`, in both directions, or only one.
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
