use crate::scenario::group;
use crate::schedule::node::Node;
use crate::schedule::world::World;
use comfreymill_group::{id, replica};

#[test]
fn a_group_is_founded_when_its_last_voter_starts() {
    for last in 0..3 {
        let mut world = World::new(7, 3);
        world.crash(last);
        group::pass(&mut world, 3_000);
        assert_eq!(world.checker.committed_index(), id::Index::ZERO);
        assert_eq!(group::serving(&world), None);
        world.start(last);
        let leader = group::wait_for_leader(&mut world);
        group::commit(&mut world, leader);
    }
}

#[test]
fn a_founder_that_lost_its_disk_is_refused() {
    let mut world = World::new(8, 3);
    world.crash(2);
    group::pass(&mut world, 1_000);
    // Voter 2 has voted for voter 1 with its first disk.
    world.crash(0);
    let (voter, start) = (world.nodes[0].voter, world.nodes[0].start.clone());
    world.nodes[0] = Node::new(voter, id::DiskId::new(5_555), start);
    world.start(0);
    world.start(2);
    group::pass(&mut world, 3_000);
    let halt = group::replica(&world, 0).halted();
    assert_eq!(halt, Some(replica::Halt::DiskReplaced { voter }));
    assert_eq!(world.checker.committed_index(), id::Index::ZERO);
}

#[test]
fn a_first_voter_keeps_its_vote_over_a_restart() {
    let mut world = World::new(9, 3);
    world.crash(2);
    group::pass(&mut world, 1_000);
    for position in 0..2 {
        world.crash(position);
        world.start(position);
    }
    world.start(2);
    let leader = group::wait_for_leader(&mut world);
    group::commit(&mut world, leader);
}
