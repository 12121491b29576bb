use super::standin;
use super::test_bed::TestBed;

/// Jobs that were open when their route was renamed were never started, also after a restart.
#[test]
fn open_jobs_complete_after_their_route_is_renamed() {
    let mut bed = TestBed::start();
    let caller = bed.caller();
    let rename = |bed: &TestBed, version, name| {
        bed.wait("the route to be renamed", || standin::put_routes(bed.control(), version, name));
    };
    bed.wait("a job to be accepted", || caller.submit(1, 4));
    rename(&bed, 2, "renamed");
    bed.wait("a job to be accepted", || caller.submit(2, 4));
    bed.restart_scheduler();
    rename(&bed, 3, "again");
    bed.wait("a job to be accepted", || caller.submit(3, 4));
    standin::start_worker("w", bed.get_address(), bed.control());
    for job in 1..=3 {
        bed.wait("a job to be completed", || caller.is_completed(job));
    }
}
