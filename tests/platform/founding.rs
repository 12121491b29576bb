//! Founding of a group whose processes are stopped meanwhile.

use super::group_bed::GroupBed;

/// The first scheduler was killed right after its first start, came back with its data folder, and the
/// others waited for it without end.
#[test]
fn a_founder_that_was_killed_before_the_founding_goes_on_with_it() {
    let mut bed = GroupBed::empty(3, "");
    let killed = bed.add();
    bed.wait("the first start", || bed.logs().contains("the scheduler starts"));
    bed.kill(killed);
    bed.add();
    bed.run_later(killed);
    bed.add();
    bed.wait_for_leader();
}

/// Any of the founders may be the one that is killed.
#[test]
fn the_last_founder_may_be_killed_before_the_founding() {
    let mut bed = GroupBed::empty(3, "");
    bed.add();
    let killed = bed.add();
    bed.wait("two first starts", || bed.logs().matches("the scheduler starts").count() == 2);
    bed.kill(killed);
    bed.add();
    bed.run_later(killed);
    bed.wait_for_leader();
}

/// The platform writes the seeds anew at each start: a founder that came back with others waited for
/// them, and the group was never founded.
#[test]
fn a_founder_that_comes_back_with_other_seeds_goes_on_with_the_founding() {
    let mut bed = GroupBed::empty(5, "");
    let killed = bed.add();
    bed.wait("the first start", || bed.logs().contains("the scheduler starts"));
    bed.kill(killed);
    for _ in 0..4 {
        bed.add();
    }
    bed.run_later_with_seeds(killed, &[0, 3, 4]);
    bed.wait_for_leader();
}

#[test]
fn a_founder_that_is_no_seed_when_it_comes_back_goes_on_with_the_founding() {
    let mut bed = GroupBed::empty(5, "");
    for starts in 1..=2 {
        let killed = bed.add();
        bed.wait("the first start", || {
            bed.logs().matches("the scheduler starts").count() == starts
        });
        bed.kill(killed);
    }
    for _ in 0..3 {
        bed.add();
    }
    bed.run_later_with_seeds(0, &[0, 1, 2]);
    bed.run_later_with_seeds(1, &[2, 3, 4]);
    bed.wait_for_leader();
}
