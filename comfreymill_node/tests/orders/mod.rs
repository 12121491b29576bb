//! Tests of the decisions about the delivery of orders: nothing keeps a stop from its worker.

mod budget;
mod mute_worker;
mod queue;

use std::sync::Arc;

use comfreymill_jobs::id;
use comfreymill_jobs::job;
use comfreymill_jobs::scheduler::Order;
use comfreymill_node::scheduler::orders::QueuedOrder;
use comfreymill_types::time;

const WORKER: id::WorkerNumber = id::WorkerNumber::new(1);

/// End of the validity of start orders.
const VALID_UNTIL_MS: u64 = 86_400_000;

fn task(index: u16) -> id::TaskId {
    let job = id::JobKey::new(0x5c0e_7a21_d94b_36f8);
    id::StepId { job, occurrence: 0, step: 0 }.task(index)
}

fn start(index: u16, run: u32) -> Order {
    let spec = job::JobSpec { payload: String::new(), steps: Vec::new(), schedule: None };
    Order::Start {
        worker: WORKER,
        task: task(index),
        run: id::Run::new(run),
        spec: Arc::new(spec),
        lease_until_ms: 0,
        checkpoint: String::new(),
        valid_until: time::Monotonic::from_millis(VALID_UNTIL_MS),
    }
}

fn stop(index: u16, run: u32) -> Order {
    Order::Stop { worker: WORKER, task: task(index), run: id::Run::new(run) }
}

fn pace(index: u16, run: u32, percent: u32) -> Order {
    Order::Pace { worker: WORKER, task: task(index), run: id::Run::new(run), percent }
}

fn queued(order: Order, at_ms: u64) -> QueuedOrder {
    QueuedOrder { order, queued_at: time::Monotonic::from_millis(at_ms) }
}
