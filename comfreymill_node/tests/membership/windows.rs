//! How long the group lacks five live voters after a change.

use std::time::Duration;

use super::bed::{Bed, VOTERS};

const SEEDS: u64 = 40;
/// Seeds among which some elections take seconds, as votes are split.
const LONG_ELECTION_SEEDS: u64 = 400;
/// Time after which a machine counts as back, or as replaced by its successor.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Time from the loss of a machine to the start of its successor at another address.
const SUCCESSION: Duration = Duration::from_millis(100);
/// Time for which a machine is down that loses its disk.
const DARK: Duration = Duration::from_millis(1_500);
/// Time of a sync on a slow disk, and on one that hangs.
const SLOW_SYNC: Duration = Duration::from_millis(150);
const HANG: Duration = Duration::from_secs(30);
/// Commands that are proposed in 5 ms.
const LOAD: usize = 3;

/// Two machines are lost for good and two others come in their places, while the log grows. A dead vote
/// was kept for over four seconds, so the disks of two others could be lost before the group had
/// five live voters again.
#[test]
fn two_replaced_machines_are_voters_in_time() {
    let mut slowest = Duration::ZERO;
    for seed in 0..LONG_ELECTION_SEEDS {
        let mut bed = Bed::start(seed);
        bed.commands = if seed % 2 == 0 { 0 } else { LOAD };
        bed.pass(Duration::from_secs(2));
        let leader = bed.leader().expect("a leader");
        bed.kill(leader);
        bed.kill((leader + 1 + seed as usize % 4) % VOTERS);
        bed.pass(SUCCESSION);
        bed.add();
        bed.add();
        let took = bed.wait("five live voters", Bed::is_whole);
        slowest = slowest.max(took);
    }
    assert!(slowest <= CATCH_UP, "{slowest:?}");
}

/// The disk of one machine is lost, and the new one is slow while the log grows. Its learner was always
/// more than a hundred entries behind, as any voter on such a disk is, and never became a voter.
#[test]
fn a_learner_on_a_slow_disk_is_promoted_while_the_log_grows() {
    for seed in 0..SEEDS {
        let mut bed = Bed::start(seed);
        bed.commands = LOAD;
        bed.pass(Duration::from_secs(2));
        let lost = (bed.leader().expect("a leader") + 1) % VOTERS;
        bed.kill(lost);
        bed.pass(DARK);
        bed.run(lost);
        bed.set_sync(lost, SLOW_SYNC);
        let took = bed.wait("five live voters", Bed::is_whole);
        assert!(took <= CATCH_UP, "seed {seed}: {took:?}");
    }
}

/// The disks of two machines are lost, and the new one of the first hangs. The leader tried to promote
/// its learner without end, kept the dead vote of the second machine and did not add its newcomer.
#[test]
fn a_learner_whose_disk_hangs_does_not_hold_up_another() {
    for seed in 0..SEEDS {
        let mut bed = Bed::start(seed);
        bed.pass(Duration::from_secs(2));
        let leader = bed.leader().expect("a leader");
        let (hangs, lost) = ((leader + 1) % VOTERS, (leader + 2) % VOTERS);
        bed.kill(hangs);
        bed.kill(lost);
        bed.pass(DARK);
        bed.run(hangs);
        bed.set_sync(hangs, HANG);
        bed.pass(Duration::from_secs(1));
        bed.run(lost);
        let took = bed.wait("the other learner to be a voter", |bed| bed.is_voter(lost));
        assert!(took <= CATCH_UP, "seed {seed}: {took:?}");
    }
}

/// A frozen machine and one that is gone are silent, and one learner is ready. The vote of the one that
/// was frozen last was removed, if its address was the lower one, and the dead vote stayed.
#[test]
fn the_voter_that_is_silent_for_longest_is_replaced_first() {
    for seed in 0..SEEDS {
        let mut bed = Bed::start(seed);
        bed.pass(Duration::from_secs(2));
        let leader = bed.leader().expect("a leader");
        let followers: Vec<usize> = (0..VOTERS).filter(|address| *address != leader).collect();
        let (frozen, gone) = (followers[0], followers[3]);
        bed.kill(gone);
        bed.pass(Duration::from_secs(10));
        bed.freeze(frozen, Duration::from_secs(60));
        bed.pass(Duration::from_secs(5));
        let learner = bed.add();
        bed.wait("the learner to be a voter", |bed| bed.is_voter(learner));
        assert!(bed.is_voter(frozen), "seed {seed}: the machine that is gone keeps its vote");
    }
}

/// A voter is frozen beside a learner whose disk hangs. The voter was removed, although the learner could
/// not take its place, and came back with an empty folder to a group of four.
#[test]
fn a_frozen_voter_stays_while_no_learner_can_take_its_place() {
    for seed in 0..SEEDS {
        let mut bed = Bed::start(seed);
        bed.pass(Duration::from_secs(2));
        let frozen = (bed.leader().expect("a leader") + 1) % VOTERS;
        let learner = bed.add();
        bed.set_sync(learner, HANG);
        bed.pass(Duration::from_secs(1));
        bed.freeze(frozen, Duration::from_secs(4));
        bed.pass(Duration::from_secs(5));
        assert!(bed.is_whole(), "seed {seed}: {:?}", bed.membership());
    }
}
