//! What a replica says when a quorum of voters is gone.

use crate::scenario::{group, log_lines, single};
use comfreymill_group::{message, replica};
use comfreymill_types::time;

const EVENT: &str = "too few voters answer to elect a leader";

/// Ticks `replica` up to `until`, while each of the voters `heard` asks it for its vote.
fn run(replica: &mut replica::Replica, millis: std::ops::Range<u64>, heard: &[u64]) {
    for millis in millis.step_by(20) {
        let now = time::Monotonic::from_millis(millis);
        for from in heard {
            let request = message::PreVote { last_index: 0, last_term: 0 };
            single::step(replica, now, *from, 5, message::Body::PreVote(request));
        }
        replica.tick(now);
    }
}

#[test]
fn voters_that_were_not_heard_for_ten_seconds_are_missing() {
    log_lines::capture();
    let mut replica = single::replica(1, 5, Some(4));
    run(&mut replica, 0..9_990, &[2]);
    assert_eq!(log_lines::take(EVENT), Vec::<String>::new());
    assert_eq!(replica.missing_votes(time::Monotonic::from_millis(9_990)), 0);

    run(&mut replica, 10_000..14_000, &[2]);
    let lines = log_lines::take(EVENT);
    assert_eq!(lines.len(), 1, "bounded: {lines:?}");
    assert!(lines[0].starts_with(&format!("WARN {EVENT}; missing=1; voters=5; heard=2; ")));
    assert!(lines[0].contains("; action=start those that are silent, or restore a backup; "));
    assert!(lines[0].ends_with("; silent=3 4 5; suppressed=0"), "{lines:?}");
    assert_eq!(replica.missing_votes(time::Monotonic::from_millis(14_000)), 1);

    run(&mut replica, 14_000..16_000, &[2]);
    let lines = log_lines::take(EVENT);
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(!lines[0].contains("suppressed=0"), "{lines:?}");

    run(&mut replica, 16_000..30_000, &[2, 3]);
    assert_eq!(log_lines::take(EVENT), Vec::<String>::new());
    assert_eq!(replica.missing_votes(time::Monotonic::from_millis(30_000)), 0);

    run(&mut replica, 30_000..41_000, &[2]);
    assert_eq!(replica.missing_votes(time::Monotonic::from_millis(41_000)), 1);
    assert_eq!(log_lines::take(EVENT).len(), 1);
}

/// Two of four voters lose their disks for good; those that are left say so.
#[test]
fn the_voters_that_are_left_say_that_a_quorum_is_gone() {
    log_lines::capture();
    let (mut world, leader) = group::started(7, 4);
    world.crash(leader);
    world.crash((leader + 1) % 4);
    let left = [(leader + 2) % 4, (leader + 3) % 4];
    group::pass(&mut world, 5_000);
    for position in left {
        let now = world.nodes[position].clock(world.now);
        let heard = group::replica(&world, position).heard_voters(now);
        let mut alive = left.map(|position| world.nodes[position].voter);
        alive.sort_unstable();
        assert_eq!(heard, alive, "others were heard only before the loss");
    }
    group::pass(&mut world, 9_000);
    for position in left {
        let now = world.nodes[position].clock(world.now);
        let replica = group::replica(&world, position);
        assert_eq!(replica.missing_votes(now), 1, "{position}");
    }
    let lines = log_lines::take(EVENT);
    assert_eq!(lines.len(), 2, "one of each: {lines:?}");
    assert!(lines.iter().all(|line| line.contains("missing=1; voters=4; heard=2; ")), "{lines:?}");
    assert_eq!(replica::LogBound::PERIOD.as_secs(), 5);
}

#[test]
fn a_group_with_a_leader_misses_no_votes() {
    log_lines::capture();
    let (mut world, leader) = group::started(8, 5);
    world.crash((leader + 1) % 5);
    world.crash((leader + 2) % 5);
    group::pass(&mut world, 25_000);
    let leader = group::wait_for_leader(&mut world);
    let now = world.nodes[leader].clock(world.now);
    assert_eq!(group::replica(&world, leader).missing_votes(now), 0);
    assert_eq!(log_lines::take(EVENT), Vec::<String>::new());
    for position in (0..5).filter(|position| *position != leader) {
        if world.nodes[position].replica.is_some() {
            world.crash(position);
        }
    }
    group::pass(&mut world, 2_000);
    let replica = group::replica(&world, leader);
    assert_ne!(replica.role(), replica::Role::Leader);
    let leaderless = replica.leaderless_for(world.nodes[leader].clock(world.now));
    assert!(leaderless.as_millis() <= 2_100, "since it led: {leaderless:?}");
}
