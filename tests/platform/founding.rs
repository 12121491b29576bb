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
