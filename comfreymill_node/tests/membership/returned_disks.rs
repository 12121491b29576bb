//! Machines that come back with empty disks, and what else may happen meanwhile.

use std::time::Duration;

use super::bed::{Bed, VOTERS};

const SEEDS: u64 = 40;
/// Time after which a machine counts as back.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Time within which a group serves again whose votes depend on a slow disk.
const RECOVERY: Duration = Duration::from_secs(30);
/// Time for which a machine is down that loses its disk.
const DARK: Duration = Duration::from_millis(200);
/// Time of a sync on the slow disk.
const SLOW_SYNC: Duration = Duration::from_secs(3);
/// Commands that are proposed in 5 ms.
const LOAD: usize = 3;

/// Lets two machines lose their disks and come back, one of them with a slow disk, and returns both, the
/// slow one first. The leader is among them for half of the seeds.
fn lose_two_disks(bed: &mut Bed, seed: u64) -> [usize; 2] {
    bed.commands = if seed % 4 < 2 { 0 } else { LOAD };
    bed.pass(Duration::from_secs(2));
    let leader = bed.leader().expect("a leader");
    let first = (leader + seed as usize % 2) % VOTERS;
    let second = (first + 1 + seed as usize / 2 % 3) % VOTERS;
    let second = if second == leader { (second + 1) % VOTERS } else { second };
    let lost = [first, second];
    lost.into_iter().for_each(|address| bed.kill(address));
    bed.pass(DARK);
    lost.into_iter().for_each(|address| bed.run(address));
    bed.set_sync(first, SLOW_SYNC);
    lost
}

/// Two disks are lost and one of the new ones is slow. Its learner never became a voter, so the loss of
/// two others left no quorum for good.
#[test]
fn two_returned_machines_are_voters_in_time_though_a_disk_is_slow() {
    for seed in 0..SEEDS {
        let mut bed = Bed::start(seed);
        lose_two_disks(&mut bed, seed);
        let took = bed.wait("five live voters", Bed::is_whole);
        assert!(took <= CATCH_UP, "seed {seed}: {took:?}");
    }
}

/// After the two that are back, two others lose their disks, the leader among them.
#[test]
fn two_disks_may_be_lost_after_two_others_though_one_of_these_is_slow() {
    for seed in 0..SEEDS {
        let mut bed = Bed::start(seed);
        let back = lose_two_disks(&mut bed, seed);
        bed.pass(CATCH_UP);
        let leader = bed.leader().expect("a leader");
        let mut others =
            (0..VOTERS).filter(|address| *address != leader && !back.contains(address));
        let other = others.next_back().expect("three others");
        bed.kill(leader);
        bed.kill(other);
        let took = bed.wait("a leader", |bed| bed.leader().is_some());
        assert!(took <= RECOVERY, "seed {seed}: {took:?}");
    }
}

/// Messages are lost while two machines come back.
#[test]
fn two_returned_machines_are_voters_in_time_though_messages_are_lost() {
    for seed in 0..SEEDS {
        let mut bed = Bed::start(seed);
        bed.loss_percent = 5;
        lose_two_disks(&mut bed, seed);
        let took = bed.wait("five live voters", Bed::is_whole);
        assert!(took <= CATCH_UP, "seed {seed}: {took:?}");
    }
}

/// The leader loses its disk right after another machine has come back, so the next leader knows nothing
/// of what that machine has announced.
#[test]
fn a_returned_machine_is_a_voter_in_time_though_the_leader_changes() {
    for seed in 0..SEEDS {
        let mut bed = Bed::start(seed);
        bed.commands = if seed % 2 == 0 { 0 } else { LOAD };
        bed.pass(Duration::from_secs(2));
        let leader = bed.leader().expect("a leader");
        let first = (leader + 1 + seed as usize % 4) % VOTERS;
        bed.kill(first);
        bed.pass(DARK);
        bed.run(first);
        bed.set_sync(first, SLOW_SYNC);
        bed.pass(Duration::from_millis(seed * 25));
        if let Some(leader) = bed.leader() {
            bed.kill(leader);
            bed.pass(DARK);
            bed.run(leader);
        }
        let took = bed.wait("five live voters", Bed::is_whole);
        assert!(took <= CATCH_UP, "seed {seed}: {took:?}");
    }
}

/// The machines are cut in two halves while two come back; the time counts from the end of the cut.
#[test]
fn two_returned_machines_are_voters_in_time_after_a_split() {
    for seed in 0..SEEDS {
        let mut bed = Bed::start(seed);
        let back = lose_two_disks(&mut bed, seed);
        bed.cut_off =
            vec![back[0], (0..VOTERS).find(|address| !back.contains(address)).expect("three")];
        bed.pass(Duration::from_millis(4_500));
        bed.cut_off.clear();
        let took = bed.wait("five live voters", Bed::is_whole);
        assert!(took <= CATCH_UP, "seed {seed}: {took:?}");
    }
}

/// A machine loses its disk again right after it has come back.
#[test]
fn a_disk_that_is_lost_twice_in_a_row_is_replaced_in_time() {
    for seed in 0..SEEDS {
        let mut bed = Bed::start(seed);
        let back = lose_two_disks(&mut bed, seed);
        bed.pass(Duration::from_millis(seed * 25));
        bed.kill(back[1]);
        bed.pass(DARK);
        bed.run(back[1]);
        let took = bed.wait("five live voters", Bed::is_whole);
        assert!(took <= CATCH_UP, "seed {seed}: {took:?}");
    }
}
