use super::standin;
use super::test_bed::TestBed;

const ODD_JOBS: u64 = 0x0dd0_0000_0000_0000;
const JOB: u64 = 0x5c0e_7a21_0000_0000;

/// Another writer left odd entries among those of the workers, and the machines that read them ended
/// again and again, or no longer followed the workers.
#[test]
fn odd_entries_end_no_process_and_take_nothing_from_a_worker() {
    let bed = TestBed::start();
    let caller = bed.caller();
    standin::start_worker("w", bed.get_address(), bed.control());
    bed.wait("a job to be accepted", || caller.submit(JOB, 10));
    bed.wait("a job to be completed", || caller.is_completed(JOB));
    for status in standin::send_odd_heartbeats(bed.control(), "w") {
        assert!(matches!(status, Some(200 | 400)), "{status:?}");
    }
    let jobs = standin::submit_odd_jobs(caller.get_address(), ODD_JOBS);
    assert!(jobs.iter().all(|status| matches!(status, Some(200 | 400 | 429 | 503))), "{jobs:?}");
    for job in JOB + 1..JOB + 6 {
        bed.wait("a job to be accepted", || caller.submit(job, 10));
        bed.wait("a job to be completed", || caller.is_completed(job));
    }
    assert!(bed.has_logged("an announcement is ignored", 1));
    assert!(!bed.has_logged("panicked", 1));
    assert!(!bed.has_logged("contradicts the earlier ones", 1), "the worker's clock is sound");
}
