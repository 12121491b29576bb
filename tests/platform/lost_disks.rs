//! Schedulers that lose their data folders one after the other.

use std::thread;
use std::time::{Duration, Instant};

use super::group_bed::GroupBed;

/// Time for which a machine is down that loses its disk.
const DARK: Duration = Duration::from_millis(1_500);
/// Time from the first loss to the second one, when the first machine has been back for a second.
const SECOND_AFTER: Duration = Duration::from_millis(2_400);
/// Time from the return of the first machine to the third loss, as long as its return counts as a loss.
const THIRD_AFTER_RETURN: Duration = Duration::from_millis(4_050);

/// Never more than two machines were lost at once, but the votes of the lost disks counted until no
/// quorum was left, and the group had no leader ever again.
#[test]
fn three_disks_lost_in_turn_leave_a_quorum() {
    let mut bed = GroupBed::start(5);
    for _ in 0..2 {
        let leader = bed.wait_for_leader();
        let member = bed.add();
        bed.wait("a voter more", || bed.voters(leader).contains(&member));
    }
    bed.wait("all to know five voters", || (0..5).all(|member| bed.voters(member).len() == 5));
    let began = Instant::now();
    let first = bed.wait_for_leader();
    bed.wipe(first);
    thread::sleep(DARK);
    bed.run_later(first);
    let second = bed.wait_for_leader();
    thread::sleep(SECOND_AFTER.saturating_sub(began.elapsed()));
    bed.wipe(second);
    thread::sleep(DARK);
    bed.run_later(second);
    let third = (0..5).find(|member| ![first, second].contains(member)).expect("a member");
    bed.wait("the first machine to be back", || bed.starts(first).len() == 2);
    let since_return = bed.starts(first)[1].elapsed().expect("the clock goes on");
    thread::sleep(THIRD_AFTER_RETURN.saturating_sub(since_return));
    bed.wipe(third);
    thread::sleep(DARK);
    bed.run_later(third);
    bed.wait_for_leader();
}
