use crate::scenario::group;
use crate::schedule::node::Node;
use comfreymill_group::{id, membership, replica};

#[test]
fn an_empty_disk_is_refused_and_never_votes_as_its_old_self() {
    for seed in 0..10 {
        let (mut world, leader) = group::started(seed, 3);
        group::commit(&mut world, leader);
        let (lost, lagging) = ((leader + 1) % 3, (leader + 2) % 3);
        // Only the leader and the disk that will be lost hold the next entry.
        world.crash(lagging);
        group::commit(&mut world, leader);
        world.crash(leader);
        world.crash(lost);
        let (voter, start) = (world.nodes[lost].voter, world.nodes[lost].start.clone());
        world.nodes[lost] = Node::new(voter, id::DiskId::new(77), start);
        world.start(lost);
        world.start(lagging);
        group::pass(&mut world, 5_000);
        assert_eq!(group::serving(&world), None, "the empty disk helped to elect a leader");
        world.start(leader);
        let leader = group::wait_for_leader(&mut world);
        group::commit(&mut world, leader);
        group::wait_until(&mut world, 5_000, |world| world.nodes[lost].halted);
        let halt = group::replica(&world, lost).halted();
        assert_eq!(halt, Some(replica::Halt::DiskReplaced { voter }));
    }
}

#[test]
fn a_lost_disk_is_replaced_and_a_second_machine_lost_after() {
    for seed in 0..10 {
        let (mut world, leader) = group::started(seed, 3);
        let mut numbers: Vec<_> = (0..20).map(|_| group::commit(&mut world, leader)).collect();
        let lost = (leader + 1) % 3;
        let lost_voter = world.nodes[lost].voter;
        world.crash(lost);
        let replacement = world.nodes.len();
        let voter = id::VoterId::new(9);
        let peers = world.nodes.iter().map(|node| node.voter).collect();
        let node = Node::new(voter, id::DiskId::new(99), replica::Start::Join { peers });
        world.nodes.push(node);
        world.start(replacement);
        for change in [
            membership::Change::AddLearner(voter),
            membership::Change::Remove(lost_voter),
            membership::Change::Promote(voter),
        ] {
            group::wait_until(&mut world, 5_000, |world| {
                group::serving(world).is_some_and(|it| it == leader)
            });
            change_when_possible(&mut world, leader, change);
            numbers.push(group::commit(&mut world, leader));
        }
        world.crash(leader);
        let next = group::wait_for_leader(&mut world);
        numbers.push(group::commit(&mut world, next));
        assert!(numbers.iter().all(|number| world.checker.is_applied(*number)));
    }
}

fn change_when_possible(
    world: &mut crate::schedule::world::World,
    leader: usize,
    change: membership::Change,
) {
    for _ in 0..1_000 {
        let clock = world.nodes[leader].clock(world.now);
        let replica = world.nodes[leader].replica.as_mut().expect("running");
        let result = replica.change_membership(clock, change);
        world.perform(leader);
        if result.is_ok() {
            return;
        }
        world.advance(group::STEP_MICROS);
    }
    panic!("{change:?} is never possible: {}", world.describe());
}
