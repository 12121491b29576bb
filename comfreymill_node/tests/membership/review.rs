//! Faults found by a review of how members are replaced.

use std::time::Duration;

use super::bed::{Bed, VOTERS};

const SEEDS: u64 = 40;
/// Time after which a machine counts as back, or as replaced by its successor.
const CATCH_UP: Duration = Duration::from_secs(4);
const DARK: Duration = Duration::from_millis(200);
const SLOW_SYNC: Duration = Duration::from_secs(3);
const HANG: Duration = Duration::from_secs(120);

/// Two machines are lost for good, and the disk of one of the two successors at new addresses is slow. A
/// dead vote is kept until that disk has synced entries.
#[test]
fn a_successor_on_a_slow_disk_is_a_voter_in_time() {
    let mut failed = Vec::new();
    for seed in 0..SEEDS {
        let mut bed = Bed::start(seed);
        bed.pass(Duration::from_secs(2));
        let leader = bed.leader().expect("a leader");
        bed.kill((leader + 1) % VOTERS);
        bed.kill((leader + 2) % VOTERS);
        bed.pass(DARK);
        bed.add();
        let slow = bed.add();
        bed.set_sync(slow, SLOW_SYNC);
        let took = bed.wait("five live voters", Bed::is_whole);
        if took > CATCH_UP {
            failed.push((seed, took));
        }
    }
    assert!(failed.is_empty(), "{} of {SEEDS}: {failed:?}", failed.len());
}

/// The leader is cut off with a machine that is back with an empty disk, while it adds this machine. The
/// change is overwritten on the other side, and the machine keeps a log that no longer lets it announce
/// itself. The time counts from the end of the cut.
#[test]
fn a_newcomer_whose_addition_is_overwritten_is_a_voter_in_time() {
    let mut failed = Vec::new();
    for step in 0..80 {
        let mut bed = Bed::start(1);
        bed.pass(Duration::from_secs(2));
        let leader = bed.leader().expect("a leader");
        let lost = (leader + 1) % VOTERS;
        bed.kill(lost);
        bed.pass(DARK);
        bed.run(lost);
        bed.pass(Duration::from_millis(step * 5));
        bed.cut_off = vec![leader, lost];
        bed.pass(Duration::from_millis(1_000));
        bed.cut_off.clear();
        let took = bed.wait("five live voters", Bed::is_whole);
        if took > CATCH_UP {
            failed.push((step * 5, took));
        }
    }
    assert!(failed.is_empty(), "cut after ms, took: {failed:?}");
}

/// A machine loses its disk twice, and an announcement of the process in between arrives late. The voter
/// with the data is removed, if it happens not to have answered a heartbeat since then.
#[test]
fn a_late_announcement_of_a_former_process_does_not_remove_a_voter() {
    let mut failed = Vec::new();
    for seed in 0..SEEDS {
        let mut bed = Bed::start(seed);
        bed.pass(Duration::from_secs(2));
        let lost = (bed.leader().expect("a leader") + 1) % VOTERS;
        bed.kill(lost);
        bed.pass(DARK);
        bed.run(lost);
        let late = Duration::from_millis(1_500 + seed * 7);
        bed.hold_messages(lost, late);
        bed.pass(Duration::from_millis(100));
        bed.kill(lost);
        bed.pass(DARK);
        bed.run(lost);
        bed.wait("five live voters", Bed::is_whole);
        let incarnation = bed.identity(lost);
        bed.pass(Duration::from_millis(2_500));
        if bed.identity(lost) != incarnation || !bed.is_voter(lost) {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "{} of {SEEDS}: {failed:?}", failed.len());
}

/// A machine is gone and two are frozen for 3 s, then one of these is frozen again, for 1 s, right after it
/// has voted. The leader counts its silence from before its vote, and removes it though it was heard.
#[test]
fn a_voter_that_granted_its_vote_is_not_silent_since_before() {
    let mut failed = Vec::new();
    for seed in 0..SEEDS {
        let mut bed = Bed::start(seed);
        let learner = bed.add();
        bed.pass(Duration::from_secs(4));
        let leader = bed.leader().expect("a leader");
        let others: Vec<usize> = (0..VOTERS).filter(|address| *address != leader).collect();
        bed.kill(leader);
        bed.freeze(others[2], Duration::from_secs(3));
        bed.freeze(others[3], Duration::from_secs(3));
        bed.pass(Duration::from_secs(3));
        let members = [others[2], others[3]].map(|address| bed.identity(address));
        // One of the two is frozen within 10 ms of the election.
        bed.wait("a leader", Bed::leads_any);
        let elected = bed.any_leader().expect("a leader");
        let frozen = if others[3] == elected { others[2] } else { others[3] };
        bed.freeze(frozen, Duration::from_millis(1_000));
        bed.pass(Duration::from_secs(4));
        let now = [others[2], others[3]].map(|address| bed.identity(address));
        if now != members {
            failed.push((seed, frozen, bed.is_voter(learner)));
        }
    }
    assert!(failed.is_empty(), "{} of {SEEDS}: {failed:?}", failed.len());
}

/// A machine comes back with an empty disk that hangs, beside a sixth machine that is a learner with all
/// entries. The one with the hanging disk must not keep the fifth vote.
#[test]
fn a_hanging_disk_does_not_keep_the_vote_that_a_sound_machine_could_have() {
    let mut failed = Vec::new();
    for seed in 0..SEEDS {
        let mut bed = Bed::start(seed);
        bed.pass(Duration::from_secs(1));
        let lost = (bed.leader().expect("a leader") + 1) % VOTERS;
        bed.kill(lost);
        bed.pass(DARK);
        bed.run(lost);
        bed.set_sync(lost, HANG);
        bed.pass(Duration::from_secs(1));
        let sound = bed.add();
        bed.pass(Duration::from_secs(20));
        if !bed.is_voter(sound) {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "{} of {SEEDS}: {failed:?}", failed.len());
}

/// The leader is cut off with a machine at a new address while it adds it as a learner, and the change is
/// overwritten. The machine keeps a log, so it announces itself no more, and it ignores refusals of a
/// membership that is older than its own: it never becomes a member. The time counts from the end of the cut.
#[test]
fn a_learner_whose_addition_is_overwritten_is_a_member_in_time() {
    let mut failed = Vec::new();
    for step in 0..80 {
        let mut bed = Bed::start(1);
        bed.pass(Duration::from_secs(2));
        let leader = bed.leader().expect("a leader");
        let added = VOTERS;
        bed.cut_off = vec![leader, added];
        bed.pass(Duration::from_millis(step * 5));
        let added = bed.add();
        bed.pass(Duration::from_millis(1_500));
        bed.cut_off.clear();
        bed.pass(Duration::from_secs(20));
        let member = bed.identity(added).expect("it runs");
        if bed.membership().is_none_or(|members| members.get(member).is_none()) {
            failed.push(step * 5);
        }
    }
    assert!(failed.is_empty(), "added after ms, no member after 20 s: {failed:?}");
}

/// As above, with a machine that is back with an empty disk and is added as a voter. The others are without
/// a leader for longer than an announcement counts.
#[test]
fn a_newcomer_that_is_added_during_a_cut_is_a_voter_in_time() {
    let mut failed = Vec::new();
    for step in 0..120 {
        let mut bed = Bed::start(step);
        bed.pass(Duration::from_secs(2));
        let leader = bed.leader().expect("a leader");
        let lost = (leader + 1) % VOTERS;
        bed.kill(lost);
        bed.pass(DARK);
        bed.run(lost);
        // Cut right after the former member is removed, before the newcomer is added.
        let former = bed.membership().expect("a leader").clone();
        bed.wait("the removal", |bed| {
            bed.membership().is_none_or(|members| members.voters().count() < VOTERS)
        });
        assert_ne!(bed.membership(), Some(&former), "seed {step}");
        bed.pass(Duration::from_millis(step % 12 * 5));
        bed.cut_off = vec![leader, lost];
        bed.freeze((leader + 2) % VOTERS, Duration::from_millis(3_500));
        bed.freeze((leader + 3) % VOTERS, Duration::from_millis(3_500));
        bed.pass(Duration::from_millis(6_000));
        bed.cut_off.clear();
        bed.pass(CATCH_UP);
        if !bed.is_whole() {
            bed.pass(Duration::from_secs(16));
            failed.push((step, bed.is_whole()));
        }
    }
    assert!(failed.is_empty(), "seed, whole after 20 s: {failed:?}");
}
