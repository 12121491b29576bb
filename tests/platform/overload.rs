use std::thread;

use super::test_bed::TestBed;

/// Callers that submit jobs at the same time.
const CALLERS: u64 = 12;
/// Number of jobs that a caller submits before it pauses.
const BURST: usize = 20;
/// Number of refused jobs after which a caller stops.
const REFUSALS: usize = 3;

/// A refusal says that a job is not run. It must not be said of a job that is stored, also not when
/// the caller submits the job again because it got no answer.
#[test]
fn a_job_that_was_refused_is_unknown_and_an_accepted_one_is_never_refused() {
    let bounds = "defer_after: 250ms\nrefuse_after: 1s";
    let bed = TestBed::with_setting(bounds, "defer_after: 1ms\nrefuse_after: 2ms");
    let submit_all = |number: u64| {
        let caller = bed.caller();
        let (mut accepted, mut refused) = (Vec::new(), Vec::new());
        let mut job = number << 32;
        bed.wait("jobs to be refused", || {
            for _ in 0..BURST {
                job += 1;
                match caller.submit_for_status(job, 1) {
                    Some(200) => {
                        let again = caller.submit_for_status(job, 1);
                        assert_ne!(again, Some(503), "an accepted job was refused");
                        accepted.push(job);
                    }
                    Some(503) => refused.push(job),
                    _ => {}
                }
            }
            refused.len() >= REFUSALS
        });
        (accepted, refused)
    };
    let outcomes: Vec<(Vec<u64>, Vec<u64>)> = thread::scope(|scope| {
        let submit_all = &submit_all;
        let callers: Vec<_> =
            (1..=CALLERS).map(|number| scope.spawn(move || submit_all(number))).collect();
        callers.into_iter().map(|caller| caller.join().expect("no thread panics")).collect()
    });
    let caller = bed.caller();
    for (accepted, refused) in outcomes {
        for job in accepted {
            bed.wait("an accepted job to be known", || caller.state(job).is_some());
        }
        for job in refused {
            bed.wait("a refused job to be unknown", || caller.is_unknown(job));
        }
    }
    assert!(bed.has_logged("the leader's load has changed", 1));
}
