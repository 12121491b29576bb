use crate::scenario::{group, single};
use crate::schedule::node::Node;
use crate::schedule::world::World;
use comfreymill_group::{id, membership, message, replica};
use comfreymill_types::time;

fn change(
    world: &mut World,
    position: usize,
    change: membership::Change,
) -> Result<id::Index, replica::ChangeError> {
    let clock = world.nodes[position].clock(world.now);
    let replica = world.nodes[position].replica.as_mut().expect("running");
    let result = replica.change_membership(clock, change);
    world.perform(position);
    result
}

fn add_newcomer(world: &mut World) -> id::VoterId {
    let voter = id::VoterId::new(8);
    let peers = world.nodes.iter().map(|node| node.voter).collect();
    world.nodes.push(Node::new(voter, id::DiskId::new(88), replica::Start::Join { peers }));
    world.start(world.nodes.len() - 1);
    group::pass(world, 1_000);
    voter
}

#[test]
fn invalid_changes_are_rejected_with_their_reason() {
    use membership::Change;
    use replica::ChangeError;

    let (mut world, leader) = group::started(1, 3);
    let own = world.nodes[leader].voter;
    let follower = (leader + 1) % 3;
    let other = world.nodes[follower].voter;
    let unknown = id::VoterId::new(50);
    let cases = [
        (Change::AddLearner(unknown), ChangeError::NotAnnounced { voter: unknown }),
        (Change::AddLearner(other), ChangeError::AlreadyMember { voter: other }),
        (Change::AddVoter(unknown), ChangeError::RaisesQuorum { voter: unknown }),
        (Change::Promote(other), ChangeError::InvalidMember { voter: other }),
        (Change::Promote(unknown), ChangeError::InvalidMember { voter: unknown }),
        (Change::Remove(unknown), ChangeError::InvalidMember { voter: unknown }),
        (Change::Remove(own), ChangeError::RemovesLeader { voter: own }),
    ];
    for (tried, expected) in cases {
        assert_eq!(change(&mut world, leader, tried), Err(expected), "{tried:?}");
    }
    let result = change(&mut world, follower, Change::Remove(other));
    assert_eq!(result, Err(ChangeError::NotLeader { hint: Some(own) }));
}

/// A machine that lost its disk became a voter only after its new disk had synced what it lacked.
#[test]
fn a_newcomer_takes_the_place_of_a_voter_before_it_has_an_entry() {
    let (mut world, leader) = group::started(4, 5);
    let lost = (leader + 1) % 5;
    world.crash(lost);
    let lost_voter = world.nodes[lost].voter;
    let voter = add_newcomer(&mut world);
    let position = world.nodes.len() - 1;
    world.nodes[position].disk_hangs = true;
    let rejected = Err(replica::ChangeError::RaisesQuorum { voter });
    assert_eq!(change(&mut world, leader, membership::Change::AddVoter(voter)), rejected);
    for next in [membership::Change::Remove(lost_voter), membership::Change::AddVoter(voter)] {
        change(&mut world, leader, next).expect("the change before is committed");
        group::pass(&mut world, 500);
    }
    let members = group::replica(&world, leader).membership();
    assert!(members.get(voter).is_some_and(membership::Member::is_voter), "{members:?}");
    // Its vote counts as soon as its disk syncs, though two others with all entries are gone.
    world.nodes[position].disk_hangs = false;
    world.crash(leader);
    world.crash((leader + 2) % 5);
    group::wait_for_leader(&mut world);
}

#[test]
fn a_second_change_waits_for_the_first() {
    let (mut world, leader) = group::started(2, 3);
    let voter = add_newcomer(&mut world);
    let index = change(&mut world, leader, membership::Change::AddLearner(voter)).expect("taken");
    let result = change(&mut world, leader, membership::Change::Remove(voter));
    assert_eq!(result, Err(replica::ChangeError::InProgress { index }));
    group::pass(&mut world, 500);
    change(&mut world, leader, membership::Change::Remove(voter))
        .expect("the first change is committed");
}

#[test]
fn a_learner_is_promoted_only_after_it_caught_up() {
    let (mut world, leader) = group::started(3, 3);
    let voter = add_newcomer(&mut world);
    change(&mut world, leader, membership::Change::AddLearner(voter)).expect("taken");
    let position = world.nodes.len() - 1;
    group::cut(&mut world, position, true, true);
    group::commit(&mut world, leader);
    group::pass(&mut world, 1_000);
    let result = change(&mut world, leader, membership::Change::Promote(voter));
    let is_behind = matches!(result, Err(replica::ChangeError::NotCaughtUp { lag, .. }) if lag > 0);
    assert!(is_behind, "{result:?}");
    world.network.heal();
    group::pass(&mut world, 1_000);
    change(&mut world, leader, membership::Change::Promote(voter)).expect("the learner caught up");
    group::pass(&mut world, 500);
    assert_eq!(group::replica(&world, position).role(), replica::Role::Follower);
}

#[test]
fn a_learner_takes_a_snapshot_and_the_entries_after() {
    let (mut world, leader) = group::started(6, 3);
    for _ in 0..30 {
        group::commit(&mut world, leader);
    }
    let machine = world.nodes[leader].machine;
    let replica = world.nodes[leader].replica.as_mut().expect("running");
    assert!(replica.snapshot_taken(machine.index, machine.to_bytes()));
    world.perform(leader);
    assert!(group::replica(&world, leader).entries_in_memory() <= 5);
    let voter = add_newcomer(&mut world);
    change(&mut world, leader, membership::Change::AddLearner(voter)).expect("taken");
    group::commit(&mut world, leader);
    let position = world.nodes.len() - 1;
    group::wait_until(&mut world, 5_000, |world| {
        world.nodes[position].machine == world.nodes[leader].machine
    });
    assert_eq!(group::replica(&world, position).snapshot_index(), machine.index);
}

#[test]
fn a_leader_without_a_committed_entry_of_its_own_term_takes_no_change() {
    let now = time::Monotonic::from_millis(700);
    let mut replica = single::replica(1, 2, None);
    single::elect(&mut replica, now);
    single::sync(&mut replica, now);
    for from in 2..=4 {
        let response = message::HeartbeatResponse { sent_at_micros: now.as_micros() };
        single::step(&mut replica, now, from, 3, message::Body::HeartbeatResponse(response));
    }
    assert!(replica.lease_valid(now) && !replica.is_ready());
    let change = membership::Change::Remove(id::VoterId::new(2));
    assert_eq!(replica.change_membership(now, change), Err(replica::ChangeError::NotReady));
}

#[test]
fn a_newcomer_that_knows_only_followers_is_added_once_it_knows_the_leader() {
    let (mut world, leader) = group::started(7, 3);
    let leader_voter = world.nodes[leader].voter;
    let followers =
        world.nodes.iter().map(|node| node.voter).filter(|voter| *voter != leader_voter);
    let (voter, peers) = (id::VoterId::new(8), followers.collect());
    world.nodes.push(Node::new(voter, id::DiskId::new(88), replica::Start::Join { peers }));
    let newcomer = world.nodes.len() - 1;
    world.start(newcomer);
    group::pass(&mut world, 1_000);
    let rejected = Err(replica::ChangeError::NotAnnounced { voter });
    assert_eq!(change(&mut world, leader, membership::Change::AddLearner(voter)), rejected);
    let replica = world.nodes[newcomer].replica.as_mut().expect("running");
    replica.set_announce_targets(vec![leader_voter]);
    group::pass(&mut world, 1_000);
    change(&mut world, leader, membership::Change::AddLearner(voter))
        .expect("the newcomer is announced");
}

/// A removed replica whose own messages reached nobody went on under its old membership, and the
/// machine at its address never heard of the group.
#[test]
fn a_former_member_is_told_of_its_removal_without_asking() {
    let (mut world, leader) = group::started(8, 4);
    let removed = (leader + 1) % 4;
    group::cut(&mut world, removed, true, false);
    let voter = world.nodes[removed].voter;
    change(&mut world, leader, membership::Change::Remove(voter)).expect("taken");
    group::wait_until(&mut world, 5_000, |world| world.nodes[removed].halted);
}

#[test]
fn the_next_leader_tells_a_former_member_of_its_removal() {
    let (mut world, leader) = group::started(9, 4);
    let removed = (leader + 1) % 4;
    group::cut(&mut world, removed, true, true);
    let voter = world.nodes[removed].voter;
    change(&mut world, leader, membership::Change::Remove(voter)).expect("taken");
    group::commit(&mut world, leader);
    world.crash(leader);
    group::wait_for_leader(&mut world);
    assert!(!world.nodes[removed].halted);
    world.network.heal();
    group::cut(&mut world, removed, true, false);
    group::wait_until(&mut world, 5_000, |world| world.nodes[removed].halted);
}

/// The leader's refusal reached a replica that was a voter again by then: the connection over which it
/// was sent had been cut off, and a newer one overtook it. The process then deletes its data folder.
#[test]
fn a_late_refusal_does_not_halt_a_replica_that_was_added_again() {
    let (mut world, leader) = group::started(10, 4);
    let voter = add_newcomer(&mut world);
    let added = world.nodes.len() - 1;
    group::cut(&mut world, added, false, true);
    // It receives no entry before it is removed, so it goes on announcing itself.
    let sender = world.nodes[leader].voter;
    world.network.cuts.remove(&(sender, voter));
    let held_until = world.now + 12_000_000;
    world.network.held.insert((sender, voter), held_until);
    change(&mut world, leader, membership::Change::AddLearner(voter)).expect("announced");
    group::commit(&mut world, leader);
    change(&mut world, leader, membership::Change::Remove(voter)).expect("a member");
    group::pass(&mut world, 3_000);

    world.network.held.clear();
    world.network.heal();
    change(&mut world, leader, membership::Change::AddLearner(voter)).expect("announced again");
    group::pass(&mut world, 2_000);
    change(&mut world, leader, membership::Change::Promote(voter)).expect("it has caught up");
    group::pass(&mut world, 2_000);
    assert_eq!(group::replica(&world, added).role(), replica::Role::Follower);
    assert!(world.now < held_until);
    group::pass(&mut world, 12_000);
    assert!(!world.nodes[added].halted, "a voter is told that it was removed");
}

/// After a snapshot and a restart of all voters nobody remembered who had been removed.
#[test]
fn a_former_member_is_told_of_its_removal_after_a_snapshot_and_a_restart_of_all() {
    let (mut world, leader) = group::started(11, 4);
    let removed = (leader + 1) % 4;
    group::cut(&mut world, removed, true, true);
    let voter = world.nodes[removed].voter;
    change(&mut world, leader, membership::Change::Remove(voter)).expect("taken");
    for _ in 0..10 {
        group::commit(&mut world, leader);
    }
    group::pass(&mut world, 1_000);
    let others: Vec<usize> = (0..4).filter(|position| *position != removed).collect();
    for position in &others {
        let machine = world.nodes[*position].machine;
        let replica = world.nodes[*position].replica.as_mut().expect("running");
        assert!(replica.snapshot_taken(machine.index, machine.to_bytes()));
        world.perform(*position);
    }
    group::pass(&mut world, 1_000);
    others.iter().for_each(|position| world.crash(*position));
    others.iter().for_each(|position| world.start(*position));
    group::wait_for_leader(&mut world);
    world.network.heal();
    group::cut(&mut world, removed, true, false);
    group::wait_until(&mut world, 10_000, |world| world.nodes[removed].halted);
}

/// A follower kept the announcement of a replica that was a member meanwhile, and added it again as the
/// next leader, although it had been removed and told so.
#[test]
fn the_next_leader_does_not_add_a_former_member_for_an_announcement_from_before() {
    let (mut world, leader) = group::started(12, 4);
    let voter = add_newcomer(&mut world);
    change(&mut world, leader, membership::Change::AddLearner(voter)).expect("announced");
    group::pass(&mut world, 200);
    change(&mut world, leader, membership::Change::Remove(voter)).expect("a member");
    group::pass(&mut world, 200);
    world.crash(leader);
    let next = group::wait_for_leader(&mut world);
    let added = change(&mut world, next, membership::Change::AddLearner(voter));
    assert_eq!(added, Err(replica::ChangeError::NotAnnounced { voter }));
}

/// A first voter that lost its disk is added again as a voter, answers heartbeats before its first write is
/// synced, is killed and votes at once for another: two leaders had valid leases.
#[test]
fn a_first_voter_that_is_added_again_keeps_the_lease_that_it_supported() {
    for seed in 0..20 {
        let (mut world, leader) = group::started(seed, 5);
        let others: Vec<usize> = (0..5).filter(|position| *position != leader).collect();
        // The founder itself would ask for the founding anew.
        let lost = *others.iter().rfind(|position| **position != 0).expect("four");
        let voter = world.nodes[lost].voter;
        let start = world.nodes[lost].start.clone();
        world.crash(lost);
        change(&mut world, leader, membership::Change::Remove(voter)).expect("a serving leader");
        group::pass(&mut world, 500);
        world.nodes[lost] = Node::new(voter, id::DiskId::new(88), start);
        world.nodes[lost].disk_hangs = true;
        world.start(lost);
        group::pass(&mut world, 800);
        change(&mut world, leader, membership::Change::AddVoter(voter)).expect("a newcomer");
        group::pass(&mut world, 500);
        // The leader reaches the newcomer and one other; two others look for a leader.
        let rest: Vec<usize> =
            others.iter().copied().filter(|position| *position != lost).collect();
        for position in &rest[..2] {
            let (one, other) = (world.nodes[leader].voter, world.nodes[*position].voter);
            world.network.cuts.extend([(one, other), (other, one)]);
            let third = world.nodes[rest[2]].voter;
            world.network.cuts.extend([(third, other), (other, third)]);
        }
        group::pass(&mut world, 1_500);
        assert_eq!(group::serving(&world), Some(leader), "seed {seed}");
        // Killed and started again, it reaches the two others alone.
        world.crash_without_unsynced(lost);
        world.nodes[lost].disk_hangs = false;
        for position in [leader, rest[2]] {
            let one = world.nodes[position].voter;
            world.network.cuts.extend([(one, voter), (voter, one)]);
        }
        world.start(lost);
        group::pass(&mut world, 1_000);
    }
}
