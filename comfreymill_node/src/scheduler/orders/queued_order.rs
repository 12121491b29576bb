use comfreymill_jobs::scheduler;
use comfreymill_types::time;

/// Order that waits until the earlier orders of its queue are answered.
#[derive(Debug)]
pub(super) struct QueuedOrder {
    pub(super) order: scheduler::Order,
    pub(super) queued_at: time::Monotonic,
}
