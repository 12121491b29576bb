use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use comfreymill_bench::standin::{Behaviour, Call};

use crate::support::Fixture;

const SLOTS: u32 = 8;
const CALLERS: usize = 24;

#[test]
fn an_executor_never_runs_more_than_its_slots_through_changes_of_leader_and_entry() {
    let mut fixture = Fixture::start_with(&Fixture::config(3, 2).lease("2s"));
    fixture.promote_document();
    fixture.add_executor("hr-1");
    fixture.search(0, "warm");
    fixture.search(1, "warm");
    // Requests take longer than a change of leader, and run on when the entry that sent them is
    // killed.
    fixture.executors[0].set_behaviour(Behaviour::Echo(Duration::from_millis(1_500)));
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let address = fixture.cluster.get_entry(caller % 2).callers;
            let is_over = Arc::clone(&is_over);
            thread::spawn(move || {
                let mut turn = 0;
                while !is_over.load(Ordering::Relaxed) {
                    turn += 1;
                    let key = format!("load-{caller}-{turn}");
                    let target = format!("/v1/derwent-hull/issue-certificate/{key}");
                    // The outcome of a request does not matter here; the executor counts how many run.
                    Call::get(target).header("idempotency-key", &key).send_blocking(address).ok();
                    thread::sleep(Duration::from_millis(2));
                }
            })
        })
        .collect();
    for _ in 0..2 {
        thread::sleep(Duration::from_millis(800));
        let leader = fixture.wait_for_leader();
        fixture.cluster.controls[leader].kill();
        fixture.cluster.entries[0].kill();
        fixture.wait_for_leader();
        thread::sleep(Duration::from_millis(1_500));
        fixture.cluster.controls[leader].start().expect("control starts again");
        fixture.cluster.entries[0].start().expect("an entry starts again");
    }
    thread::sleep(Duration::from_millis(1_500));
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().expect("a caller");
    }
    let most = fixture.executors[0].get_max_concurrency();
    assert!(most > SLOTS / 2, "the load was too low to show anything: {most}");
    assert!(most <= SLOTS, "{most} requests ran at once");
}
