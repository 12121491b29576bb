use crate::scenario::group;
use comfreymill_group::replica;

#[test]
fn a_leadership_transfer_takes_less_than_an_election_timeout() {
    for seed in 0..10 {
        let (mut world, leader) = group::started(seed, 3);
        group::commit(&mut world, leader);
        let clock = world.nodes[leader].clock(world.now);
        let replica = world.nodes[leader].replica.as_mut().expect("running");
        let to = replica.best_successor().expect("another voter");
        replica.transfer_leadership(clock, to).expect("a leader");
        world.perform(leader);
        let millis = group::wait_until(&mut world, 300, |world| {
            group::serving(world).is_some_and(|serving| world.nodes[serving].voter == to)
        });
        assert!(millis <= 250, "seed {seed}: {millis} ms");
    }
}

#[test]
fn a_failed_transfer_ends_and_a_leader_serves() {
    let (mut world, leader) = group::started(3, 3);
    let other = (leader + 1) % 3;
    let to = world.nodes[other].voter;
    world.crash(other);
    let clock = world.nodes[leader].clock(world.now);
    let replica = world.nodes[leader].replica.as_mut().expect("running");
    replica.transfer_leadership(clock, to).expect("a leader");
    world.perform(leader);
    let mut refused = 0;
    for _ in 0..20 {
        refused += u64::from(world.propose(leader).is_none());
        world.advance(group::STEP_MICROS);
    }
    assert_eq!(refused, 20, "commands are accepted during a transfer");
    group::pass(&mut world, 1_500);
    let leader = group::wait_for_leader(&mut world);
    group::commit(&mut world, leader);
}

#[test]
fn a_successor_must_be_another_voter() {
    let (mut world, leader) = group::started(1, 3);
    let (own, now) = (world.nodes[leader].voter, world.now);
    let clock = world.nodes[leader].clock(now);
    let replica = world.nodes[leader].replica.as_mut().expect("running");
    let unknown = comfreymill_group::id::VoterId::new(70);
    for to in [own, unknown] {
        let result = replica.transfer_leadership(clock, to);
        assert_eq!(result, Err(replica::TransferError::NotVoter { to }));
    }
}
