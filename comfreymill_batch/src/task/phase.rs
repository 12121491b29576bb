use comfreymill_types::time;

use super::Attempt;
use crate::action;
use crate::queue;

/// Where a task is in its life.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// In a lane of the queue.
    Waiting(queue::LaneIndex),
    /// Waits for its time before it is queued again.
    Delayed(time::Monotonic),
    /// Holds room on a worker.
    Active(Box<Attempt>),
    /// Parking is proposed.
    Parking(action::ParkReason),
    /// Waits for a person, or for a worker that is large enough.
    Parked(action::ParkReason),
}
