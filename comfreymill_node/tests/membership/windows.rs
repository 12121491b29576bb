//! How long the group lacks five live voters after a change.

use std::time::Duration;

use super::bed::{Bed, VOTERS};

const SEEDS: u64 = 40;
/// Time after which a machine counts as back, or as replaced by its successor.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Time for which a machine is down that loses its disk.
const DARK: Duration = Duration::from_millis(1_500);
const HANG: Duration = Duration::from_secs(30);

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
