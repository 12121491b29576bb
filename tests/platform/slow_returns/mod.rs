//! Schedulers that come back with empty disks, one of which syncs slowly.

mod slow_return;
mod slow_sync;
mod steady_changes;

use self::slow_return::{Onset, SlowReturn};

/// The vote of a lost disk still counted when the machine had been back for as long as its return counts
/// as a loss, and two further losses left the group without a leader for good.
#[test]
fn a_slow_start_of_a_follower_leaves_no_quorum_after_two_more_losses() {
    lose_two_disks_twice(Onset::Start, false, false);
}

/// As above, with the leader among the first two.
#[test]
fn a_slow_start_of_the_leader_leaves_no_quorum_after_two_more_losses() {
    lose_two_disks_twice(Onset::Start, true, false);
}

/// As above, and the three others lose power at the same time and come back with their data.
#[test]
fn a_slow_start_leaves_no_quorum_after_two_more_losses_and_a_restart_of_all() {
    lose_two_disks_twice(Onset::Start, true, true);
}

/// The machine was a member again without a vote, and the vote of its lost disk had been removed.
#[test]
fn a_slow_learner_leaves_no_quorum_after_two_more_losses() {
    lose_two_disks_twice(Onset::Added, false, false);
}

/// As above, with the leader among the first two, and a restart of the three others.
#[test]
fn a_slow_learner_leaves_no_quorum_after_two_more_losses_and_a_restart_of_all() {
    lose_two_disks_twice(Onset::Added, true, true);
}

/// A leader was killed while the machine came back, and only four votes counted.
#[test]
fn a_slow_start_beside_a_change_of_leader_leaves_four_votes() {
    change_leader_meanwhile(Onset::Start);
}

/// As above, when the disk becomes slow after the start.
#[test]
fn a_slow_learner_beside_a_change_of_leader_leaves_four_votes() {
    change_leader_meanwhile(Onset::Added);
}

fn lose_two_disks_twice(onset: Onset, with_leader: bool, all: bool) {
    let mut slow_return = SlowReturn::start(onset);
    slow_return.lose_two_disks(with_leader);
    slow_return.catch_up();
    slow_return.lose_leader_and_another(all);
    slow_return.wait_for_commit();
}

fn change_leader_meanwhile(onset: Onset) {
    let mut slow_return = SlowReturn::start(onset);
    slow_return.lose_one_disk();
    slow_return.change_leader();
    slow_return.catch_up();
    slow_return.expect_five_votes();
}
