use comfreymill_types::time;

use super::Attempt;
use crate::action;
use crate::queue;

/// Phase of a task that is not over.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// Waits in a lane of the queue.
    Waiting(queue::LaneIndex),
    /// Waits until the given time before it is queued again.
    Delayed(time::Monotonic),
    /// Has an attempt with resources reserved on a worker.
    Active(Box<Attempt>),
    /// Parking is proposed and not yet committed.
    Parking(action::ParkReason),
    /// Waits for an operator, or for a worker or quota that is large enough.
    Parked(action::ParkReason),
}
