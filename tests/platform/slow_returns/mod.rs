//! Schedulers that come back with empty disks, one of which syncs slowly.

mod slow_return;
mod slow_sync;

use self::slow_return::SlowReturn;

/// The vote of the machine with the slow disk was not replaced within the time for which its return
/// counts as a loss, and two further losses left the group without a leader for good.
#[test]
fn a_slow_return_of_two_followers_leaves_no_quorum_after_two_more_losses() {
    let mut slow_return = SlowReturn::start();
    slow_return.lose_two_disks(false);
    slow_return.catch_up();
    slow_return.lose_leader_and_another(false);
    slow_return.wait_for_commit();
}

/// As above, with the leader among the first two.
#[test]
fn a_slow_return_of_leader_and_follower_leaves_no_quorum_after_two_more_losses() {
    let mut slow_return = SlowReturn::start();
    slow_return.lose_two_disks(true);
    slow_return.catch_up();
    slow_return.lose_leader_and_another(false);
    slow_return.wait_for_commit();
}

/// As above, and the three others lose power at the same time and come back with their data.
#[test]
fn a_slow_return_leaves_no_quorum_after_two_more_losses_and_a_restart_of_all() {
    let mut slow_return = SlowReturn::start();
    slow_return.lose_two_disks(true);
    slow_return.catch_up();
    slow_return.lose_leader_and_another(true);
    slow_return.wait_for_commit();
}

/// A leader that was killed meanwhile left the machine with the slow disk without a vote.
#[test]
fn a_slow_return_beside_a_change_of_leader_leaves_four_votes() {
    let mut slow_return = SlowReturn::start();
    slow_return.lose_one_disk();
    slow_return.change_leader();
    slow_return.catch_up();
    slow_return.expect_five_votes();
}
