use super::standin;
use super::test_bed::TestBed;

/// A submission that was held up ran after its job had been cancelled, also after a restart.
#[test]
fn a_job_that_was_cancelled_before_it_was_submitted_does_not_run() {
    let mut bed = TestBed::start();
    let caller = bed.caller();
    let worker = standin::start_worker("w", bed.get_address(), bed.control());
    for job in [1, 2] {
        assert_eq!(caller.cancel(job), Some(410), "it is not known");
    }
    bed.wait("a late submission to be answered", || caller.submit(1, 4));
    bed.restart_scheduler();
    bed.wait("a late submission to be answered", || caller.submit(2, 4));
    bed.wait("another job to be accepted", || caller.submit(3, 4));
    bed.wait("the other job to be completed", || caller.is_completed(3));
    for job in [1, 2] {
        assert_eq!(caller.state(job).as_deref(), Some("cancelled"));
    }
    assert_eq!(worker.lock().expect("no thread panics").len(), 4, "only the other job has run");
}
