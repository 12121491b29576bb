use crate::scenario::{group, single};
use crate::schedule::node::Node;
use comfreymill_group::{id, membership, message, replica};
use comfreymill_types::time;

/// Time within which a group serves again after a loss of power of all, in milliseconds.
const RECOVERY_MILLIS: u64 = 12_000;

#[test]
fn an_empty_disk_is_refused_and_does_not_vote_under_its_earlier_identity() {
    for seed in 0..10 {
        let (mut world, leader) = group::started(seed, 3);
        group::commit(&mut world, leader);
        let (lost, lagging) = ((leader + 1) % 3, (leader + 2) % 3);
        // Only the leader and the replica that loses its disk hold the next entry.
        world.crash(lagging);
        group::commit(&mut world, leader);
        world.crash(leader);
        world.crash(lost);
        let (voter, start) = (world.nodes[lost].voter, world.nodes[lost].start.clone());
        world.nodes[lost] = Node::new(voter, id::DiskId::new(77), start);
        world.start(lost);
        world.start(lagging);
        group::pass(&mut world, 5_000);
        assert_eq!(
            group::serving(&world),
            None,
            "the replica with the empty disk helped to elect a leader"
        );
        world.start(leader);
        let leader = group::wait_for_leader(&mut world);
        group::commit(&mut world, leader);
        group::wait_until(&mut world, 5_000, |world| world.nodes[lost].halted);
        let halt = group::replica(&world, lost).halted();
        assert_eq!(halt, Some(replica::Halt::DiskReplaced { voter }));
    }
}

#[test]
fn no_entry_is_lost_when_the_leader_fails_after_a_lost_disk_was_replaced() {
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
                group::serving(world).is_some_and(|serving| serving == leader)
            });
            retry_change(&mut world, leader, change);
            numbers.push(group::commit(&mut world, leader));
        }
        world.crash(leader);
        let next = group::wait_for_leader(&mut world);
        numbers.push(group::commit(&mut world, next));
        assert!(numbers.iter().all(|number| world.checker.is_applied(*number)));
    }
}

fn retry_change(
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
    panic!("{change:?} was rejected on every attempt: {}", world.describe());
}

/// Passes the same response of voters 2 to 5 to `replica`, with their disks from the membership if
/// `is_member_disk`, otherwise with other disks.
fn respond_all<F>(
    replica: &mut replica::Replica,
    now: time::Monotonic,
    is_member_disk: bool,
    body: F,
) where
    F: Fn(u64) -> message::Body,
{
    for number in 2..=5 {
        let term = replica.term().get();
        let disk = if is_member_disk { number * 10 } else { number * 10 + 1 };
        let to_disk = replica.disk().get();
        let message = message::Message { term, disk, to_disk, body: Some(body(term)) };
        replica.step(now, id::VoterId::new(number), message);
        single::sync(replica, now);
    }
}

#[test]
fn responses_of_other_disks_do_not_count_for_elections_commits_or_the_lease() {
    let mut replica = single::replica(1, 2, None);
    let now = time::Monotonic::from_millis(700);
    let term = replica.term();
    replica.tick(now);
    let pre_vote = |term: u64| {
        let response = message::PreVoteResponse { asked_term: term + 1, granted: true, reason: 0 };
        message::Body::PreVoteResponse(response)
    };
    let vote = |_| message::Body::VoteResponse(message::VoteResponse { granted: true, reason: 0 });
    let accept = |_| {
        let sent_at_micros = now.as_micros();
        let (prev_index, rejected, index) = (1, false, 2);
        let response = message::AppendResponse { prev_index, rejected, index, sent_at_micros };
        message::Body::AppendResponse(response)
    };
    respond_all(&mut replica, now, false, pre_vote);
    assert_eq!(replica.term(), term, "pre-votes of other disks count");
    respond_all(&mut replica, now, true, pre_vote);
    assert_eq!(replica.term(), term.next());
    respond_all(&mut replica, now, false, vote);
    assert_eq!(replica.role(), replica::Role::Candidate, "votes of other disks count");
    respond_all(&mut replica, now, true, vote);
    assert_eq!(replica.role(), replica::Role::Leader);
    respond_all(&mut replica, now, false, accept);
    assert_eq!(replica.commit_index(), id::Index::ZERO, "entries on other disks count");
    assert!(!replica.lease_valid(now), "responses of other disks renew the lease");
    respond_all(&mut replica, now, true, accept);
    assert!(replica.commit_index() == id::Index::new(2) && replica.lease_valid(now));
}

#[test]
fn a_message_for_another_disk_is_ignored() {
    let mut replica = single::replica(1, 2, None);
    let now = time::Monotonic::from_millis(10);
    let body = message::Body::Heartbeat(message::Heartbeat { commit: 1, sent_at_micros: 1 });
    for (to_disk, is_accepted) in [(11, false), (10, true)] {
        let message = message::Message { term: 5, disk: 20, to_disk, body: Some(body.clone()) };
        replica.step(now, id::VoterId::new(2), message);
        assert_eq!(replica.leader_hint().is_some(), is_accepted);
        assert_eq!(replica.commit_index() > id::Index::ZERO, is_accepted);
    }
}

/// With syncs that take longer than the election time-out, each vote came after the next election had
/// begun, and no leader served. After two lost disks each of the three votes left is needed.
#[test]
fn a_quorum_with_slow_disks_elects_a_leader() {
    for seed in 0..5 {
        let (mut world, leader) = group::started(seed, 5);
        group::commit(&mut world, leader);
        (0..5).for_each(|position| world.crash(position));
        (0..3).for_each(|position| world.start(position));
        world.sync_max_micros = 1_500_000;
        group::wait_until(&mut world, RECOVERY_MILLIS, |world| group::serving(world).is_some());
    }
}
