//! Three of five voters are left, and the disk of one of them is slow, so the votes of all three are
//! needed.

use crate::scenario::{group, single};
use crate::schedule::world::World;
use comfreymill_group::{id, message, replica};
use comfreymill_types::time;

/// Longest sync in milliseconds, and the time within which the first entry of a leader is committed.
const BOUNDS: [(u64, u64); 2] = [(3_000, 30_000), (6_000, 60_000)];
const SEEDS: u64 = 20;

/// Lengths of the syncs of the slow disk.
#[derive(Clone, Copy, Debug)]
enum Syncs {
    /// All as long as the longest.
    Constant,
    /// Up to the longest.
    Random,
}

/// Kills the leader and another voter for good, and returns the three that are left, the slow one
/// first. `load` commands are proposed beforehand at intervals of a step.
fn lose_two(seed: u64, max_millis: u64, syncs: Syncs, load: u64) -> (World, Vec<usize>) {
    let (mut world, leader) = group::started(seed, 5);
    group::commit(&mut world, leader);
    let left: Vec<_> = (2..5).map(|offset| (leader + offset) % 5).collect();
    let max = max_millis * 1_000;
    let min = if matches!(syncs, Syncs::Constant) { max } else { 0 };
    world.nodes[left[0]].sync_micros = Some((min, max));
    for _ in 0..load {
        world.propose(leader).expect("a serving leader");
        world.advance(group::STEP_MICROS);
    }
    world.crash(leader);
    world.crash((leader + 1) % 5);
    (world, left)
}

/// Returns the milliseconds until a leader serves, or nothing if none does within `bound_millis`.
fn time_to_serve(world: &mut World, bound_millis: u64) -> Option<u64> {
    let start = world.now;
    while group::serving(world).is_none() {
        if world.now - start > bound_millis * 1_000 {
            return None;
        }
        world.advance(group::STEP_MICROS);
    }
    Some((world.now - start) / 1_000)
}

/// Checks that a leader serves within the bounds in each of `SEEDS` runs of `prepare`.
fn check<F>(prepare: F)
where
    F: Fn(u64, u64) -> World,
{
    let mut failures = Vec::new();
    for (max_millis, bound_millis) in BOUNDS {
        let mut times = Vec::new();
        for seed in 0..SEEDS {
            let mut world = prepare(seed, max_millis);
            match time_to_serve(&mut world, bound_millis) {
                Some(time) => times.push(time),
                None => failures.push((max_millis, seed)),
            }
        }
        times.sort_unstable();
        let (median, longest) = (times.get(times.len() / 2), times.last());
        eprintln!("syncs of {max_millis} ms: median {median:?}, longest {longest:?}");
    }
    assert!(failures.is_empty(), "{} without a leader: {failures:?}", failures.len());
}

/// The vote of the slow disk came when the candidate had given up, and each new one had to be synced.
#[test]
fn a_vote_that_comes_late_still_elects_a_leader() {
    check(|seed, max_millis| lose_two(seed, max_millis, Syncs::Constant, 0).0);
}

#[test]
fn a_vote_that_takes_a_different_time_each_time_elects_a_leader() {
    check(|seed, max_millis| lose_two(seed, max_millis, Syncs::Random, 0).0);
}

/// The slow disk still syncs entries of the former leader when the election begins.
#[test]
fn a_vote_behind_writes_that_are_not_synced_elects_a_leader() {
    check(|seed, max_millis| lose_two(seed, max_millis, Syncs::Constant, 10).0);
}

/// A candidate that the slow voter can't hear must not keep the third from leading.
#[test]
fn a_candidate_that_is_cut_off_from_the_slow_voter_yields_to_the_third() {
    check(|seed, max_millis| {
        let (mut world, left) = lose_two(seed, max_millis, Syncs::Constant, 0);
        let (slow, cut) = (world.nodes[left[0]].voter, world.nodes[left[1]].voter);
        world.network.cuts.extend([(slow, cut), (cut, slow)]);
        world
    });
}

/// The slow voter loses the vote that it has not synced, and is asked again.
#[test]
fn a_vote_that_is_lost_before_its_sync_is_given_anew() {
    check(|seed, max_millis| {
        let (mut world, left) = lose_two(seed, max_millis, Syncs::Constant, 0);
        group::pass(&mut world, max_millis * 3 / 4);
        world.crash_without_unsynced(left[0]);
        world.start(left[0]);
        world
    });
}

/// All three start anew, as after a loss of power.
#[test]
fn three_that_start_anew_with_one_slow_disk_elect_a_leader() {
    check(|seed, max_millis| {
        let (mut world, left) = lose_two(seed, max_millis, Syncs::Constant, 0);
        left.iter().for_each(|position| world.crash(*position));
        left.iter().for_each(|position| world.start(*position));
        world
    });
}

fn grant() -> message::Body {
    message::Body::VoteResponse(message::VoteResponse { granted: true, reason: 0 })
}

/// Returns a replica with two of five votes, its own among them, whose election time-out has passed
/// since, and the time.
fn waiting_candidate() -> (replica::Replica, time::Monotonic) {
    let mut candidate = single::replica(1, 1, None);
    let now = time::Monotonic::from_millis(2_000);
    candidate.tick(now);
    for from in 2..=3 {
        let response = message::PreVoteResponse { asked_term: 2, granted: true, reason: 0 };
        single::step(&mut candidate, now, from, 1, message::Body::PreVoteResponse(response));
    }
    single::sync(&mut candidate, now);
    single::step(&mut candidate, now, 2, 2, grant());
    let now = time::Monotonic::from_millis(4_000);
    candidate.tick(now);
    single::sync(&mut candidate, now);
    assert_eq!((candidate.role(), candidate.term()), (replica::Role::Candidate, id::Term::new(2)));
    (candidate, now)
}

#[test]
fn a_vote_counts_in_its_term_although_the_next_one_is_asked_about() {
    let (mut candidate, now) = waiting_candidate();
    single::step(&mut candidate, now, 2, 2, grant());
    assert_eq!(candidate.role(), replica::Role::Candidate, "a vote counts twice");
    single::step(&mut candidate, now, 3, 2, grant());
    assert_eq!((candidate.role(), candidate.term()), (replica::Role::Leader, id::Term::new(2)));
}

#[test]
fn a_late_vote_does_not_count_in_a_later_term() {
    let (mut candidate, now) = waiting_candidate();
    for from in 2..=3 {
        let response = message::PreVoteResponse { asked_term: 3, granted: true, reason: 0 };
        single::step(&mut candidate, now, from, 2, message::Body::PreVoteResponse(response));
    }
    single::sync(&mut candidate, now);
    assert_eq!(candidate.term(), id::Term::new(3));
    for from in 3..=5 {
        single::step(&mut candidate, now, from, 2, grant());
    }
    assert_eq!(candidate.role(), replica::Role::Candidate, "votes of an earlier term count");
    single::step(&mut candidate, now, 3, 3, grant());
    single::step(&mut candidate, now, 3, 3, grant());
    assert_eq!(candidate.role(), replica::Role::Candidate, "votes of both terms count together");
}

#[test]
fn a_late_vote_does_not_count_after_another_leader_was_heard() {
    for term in [2, 3] {
        let (mut candidate, now) = waiting_candidate();
        let heartbeat = message::Heartbeat { commit: 0, sent_at_micros: 1 };
        single::step(&mut candidate, now, 4, term, message::Body::Heartbeat(heartbeat));
        for from in [3, 5] {
            single::step(&mut candidate, now, from, term, grant());
        }
        assert_eq!(candidate.role(), replica::Role::Follower);
    }
}

/// Steps `body` of voter 2 and returns the bodies that are sent for it, before and after the sync.
fn answers(
    replica: &mut replica::Replica,
    now: time::Monotonic,
    term: u64,
    body: message::Body,
) -> (Vec<message::Body>, Vec<message::Body>) {
    let sent = |actions: Vec<replica::Action>| {
        let bodies = actions.into_iter().filter_map(|action| match action {
            replica::Action::Send { message, .. } => message.body,
            _ => None,
        });
        bodies.collect()
    };
    single::step(replica, now, 2, term, body);
    let actions = replica.take_actions();
    let newest = actions.iter().rev().find_map(|action| match action {
        replica::Action::Persist(write) => Some(write.sequence),
        _ => None,
    });
    let before = sent(actions);
    if let Some(sequence) = newest {
        replica.persisted(now, sequence);
    }
    (before, sent(replica.take_actions()))
}

/// A voter may have been added before it received anything.
#[test]
fn a_voter_with_an_empty_log_votes() {
    let mut newcomer = single::replica_with(9, 0, Vec::new());
    let now = time::Monotonic::from_millis(2_000);
    let (last_index, last_term) = (5, 1);
    let pre_vote = message::Body::PreVote(message::PreVote { last_index, last_term });
    let granted = message::PreVoteResponse { asked_term: 5, granted: true, reason: 0 };
    let (before, _) = answers(&mut newcomer, now, 4, pre_vote);
    assert_eq!(before, [message::Body::PreVoteResponse(granted)]);
    let request = message::Vote { last_index, last_term, transfer: false };
    let (before, after) = answers(&mut newcomer, now, 5, message::Body::Vote(request));
    assert!(before.is_empty(), "the vote is sent before its sync: {before:?}");
    assert_eq!(after, [grant()]);
}

/// It may have answered a heartbeat of a leader, which has a lease by it, before its term was synced.
#[test]
fn a_newcomer_that_was_killed_before_its_first_sync_waits_for_a_lease_to_end() {
    let mut newcomer = single::replica_with(9, 0, Vec::new());
    let (last_index, last_term, transfer) = (5, 1, false);
    let request = message::Body::Vote(message::Vote { last_index, last_term, transfer });
    let early = time::Monotonic::from_millis(290);
    assert_eq!(answers(&mut newcomer, early, 5, request.clone()), (Vec::new(), Vec::new()));
    let late = time::Monotonic::from_millis(310);
    assert_eq!(answers(&mut newcomer, late, 5, request), (Vec::new(), vec![grant()]));
}
