use crate::action;
use crate::event;

/// How firmly an attempt holds its worker.
#[derive(Clone, Debug)]
pub(crate) enum Grip {
    /// Its start is proposed and not yet committed.
    Proposed,
    /// Its start is on record.
    Live,
    /// Its end is proposed and not yet committed.
    Ending {
        outcome: action::Outcome,
        checkpoint: Option<event::Checkpoint>,
        park: Option<action::ParkReason>,
    },
}
