use crate::action;
use crate::event;

/// Which of an attempt's records, start and end, are proposed or committed to the log.
#[derive(Clone, Debug)]
pub(crate) enum CommitState {
    /// The start is proposed and not yet committed.
    StartProposed,
    /// The start is committed and no end is proposed.
    Started,
    /// The end is proposed and not yet committed.
    EndProposed {
        outcome: action::Outcome,
        checkpoint: Option<event::Checkpoint>,
        park: Option<action::ParkReason>,
    },
}
