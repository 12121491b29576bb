use comfreymill_jobs::scheduler;
use comfreymill_types::time;

/// Order that waits to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedOrder {
    /// Order.
    pub order: scheduler::Order,
    /// When the order was queued; for one that replaces an earlier one, when that was queued.
    pub queued_at: time::Monotonic,
}
