use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::size;

use super::Checkpoint;
use crate::action;

/// Task as the ledger holds it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct TaskView {
    /// Task.
    pub id: id::TaskId,
    /// Stage whose document names its class.
    pub stage: document::Stage,
    /// Team that submitted it.
    pub team: id::TeamName,
    /// Class of the task.
    pub class: id::ClassName,
    /// Order in which the job was submitted.
    pub order: u64,
    /// Declared size; none takes that of the class.
    pub size: Option<size::Resources>,
    /// Last checkpoint on record.
    pub checkpoint: Option<Checkpoint>,
    /// Number of the last attempt on record.
    pub last_attempt: id::AttemptNumber,
    /// Workers that must not run it.
    pub excluded: Vec<id::WorkerName>,
    /// Workers on which it failed.
    pub failed_on: Vec<id::WorkerName>,
    /// Whether its cancellation is on record.
    pub cancelled: bool,
    /// Why it is parked, if it is.
    pub parked: Option<action::ParkReason>,
}

impl TaskView {
    /// New task that never ran.
    pub fn new(
        id: id::TaskId,
        stage: document::Stage,
        team: id::TeamName,
        class: id::ClassName,
    ) -> Self {
        Self {
            id,
            stage,
            team,
            class,
            order: id.job.get(),
            size: None,
            checkpoint: None,
            last_attempt: id::AttemptNumber::NONE,
            excluded: Vec::new(),
            failed_on: Vec::new(),
            cancelled: false,
            parked: None,
        }
    }
}
