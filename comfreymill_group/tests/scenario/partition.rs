use crate::scenario::group;
use comfreymill_group::replica;

/// Cuts the leader off in the given directions. Checks that it steps down within its lease, that
/// the others elect a leader, and that a command proposed after the cut is applied only if it
/// reached them.
fn cut_off_leader_stops(outgoing: bool, incoming: bool) {
    for seed in 0..10 {
        let (mut world, leader) = group::started(seed, 3);
        group::commit(&mut world, leader);
        group::cut(&mut world, leader, outgoing, incoming);
        let pending = world.propose(leader).expect("the cut is not detected yet");
        let is_leading = |world: &crate::schedule::world::World| {
            group::replica(world, leader).role() == replica::Role::Leader
        };
        let millis = group::wait_until(&mut world, 310, |world| !is_leading(world));
        assert!(millis <= 310, "was leader for {millis} ms without a quorum");
        let next = group::wait_for_leader(&mut world);
        assert_ne!(next, leader);
        group::commit(&mut world, next);
        assert!(world.propose(leader).is_none(), "a cut-off replica accepts a command");
        world.network.heal();
        group::pass(&mut world, 2_000);
        let last = group::wait_for_leader(&mut world);
        group::commit(&mut world, last);
        // The next leader may commit entries that reached a follower; all others are lost.
        assert!(outgoing || world.checker.is_applied(pending));
        assert!(!outgoing || !world.checker.is_applied(pending), "a lost command is applied");
    }
}

#[test]
fn a_partitioned_leader_stops_within_its_lease() {
    cut_off_leader_stops(true, true);
}

#[test]
fn a_leader_without_outgoing_links_stops_within_its_lease() {
    cut_off_leader_stops(true, false);
}

#[test]
fn a_leader_without_incoming_links_stops_within_its_lease() {
    cut_off_leader_stops(false, true);
}

#[test]
fn a_flapping_follower_does_not_depose_the_leader() {
    let (mut world, leader) = group::started(4, 3);
    let term = group::replica(&world, leader).term();
    let follower = (leader + 1) % 3;
    for round in 0..20 {
        group::cut(&mut world, follower, round % 2 == 0, true);
        group::pass(&mut world, 700);
        group::commit(&mut world, leader);
        world.network.cuts.clear();
        group::pass(&mut world, 100);
    }
    group::pass(&mut world, 2_000);
    let current = group::wait_for_leader(&mut world);
    assert_eq!((current, group::replica(&world, current).term()), (leader, term));
}

#[test]
fn a_group_without_a_quorum_accepts_no_command() {
    let (mut world, leader) = group::started(5, 3);
    for position in (0..3).filter(|position| *position != leader) {
        world.crash(position);
    }
    group::pass(&mut world, 400);
    assert_eq!(group::serving(&world), None);
    assert!(world.propose(leader).is_none());
    for position in (0..3).filter(|position| *position != leader) {
        world.start(position);
    }
    let leader = group::wait_for_leader(&mut world);
    group::commit(&mut world, leader);
}

#[test]
fn a_leader_whose_disk_hangs_transfers_leadership() {
    for seed in 0..10 {
        let (mut world, leader) = group::started(seed, 3);
        group::commit(&mut world, leader);
        world.nodes[leader].disk_hangs = true;
        let pending = world.propose(leader).expect("is leader");
        group::wait_until(&mut world, 3_000, |world| {
            group::serving(world).is_some_and(|serving| serving != leader)
        });
        let next = group::wait_for_leader(&mut world);
        group::commit(&mut world, next);
        assert!(world.checker.is_applied(pending), "a command that a quorum synced is lost");
        group::pass(&mut world, 3_000);
        assert_ne!(group::serving(&world), Some(leader), "is leader again with a hanging disk");
    }
}
