//! An executor crashes while nothing runs on it and is back at once under its id. The node that it
//! announces itself to is frozen, so that its first heartbeat reaches the leader a second later.

use std::thread;
use std::time::Duration;

use super::{Outcome, ROUTE, labels, twice};
use crate::bed::Bed;
use crate::client;
use crate::record;

const JOB: &str = "5c0e7a21d94b36fa";
/// Time for which the crashed executor is down.
const DOWN: Duration = Duration::from_millis(300);
/// Time for which the follower is frozen.
const FREEZE: Duration = Duration::from_millis(4_000);

pub(super) fn run(record: &record::Record, has_trouble: bool) -> Outcome {
    let mut bed = Bed::start(record, &ROUTE, labels)?;
    thread::sleep(Duration::from_millis(1_000));
    let follower = bed.follower()?;
    if has_trouble {
        bed.signal_scheduler(follower, "STOP")?;
        let mut controls = bed.controls();
        controls.rotate_left(follower);
        bed.executors[0].crash();
        thread::sleep(DOWN);
        bed.executors[0].restart(&controls)?;
    }
    // Large tasks, one for each executor but one.
    let spec = "{\"task_spec\":\"ms=700 cpu=15000\",\"steps\":[{\"count\":7,\"cpu\":15000,\"mem_mb\":1024,\"estimate_ms\":700}]}";
    let caller = client::Client::new(record, bed.gateway(0), &ROUTE);
    caller.submit(JOB, spec);
    if has_trouble {
        thread::sleep(FREEZE);
        bed.signal_scheduler(follower, "CONT")?;
    }
    caller.wait_for(JOB, "completed", Duration::from_secs(20));
    bed.check_processes()?;
    Ok(twice::find(&record.runs()))
}
