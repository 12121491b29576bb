use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::size;

use super::Checkpoint;
use crate::action;

/// Task as recorded in the ledger.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct TaskView {
    /// Identifier of the task.
    pub id: id::TaskId,
    /// Stage whose document defines the class.
    pub stage: document::Stage,
    /// Team that submitted the task.
    pub team: id::TeamName,
    /// Class of the task.
    pub class: id::ClassName,
    /// Order in which the job was submitted.
    pub order: u64,
    /// Declared size; `None` means the size of the class.
    pub size: Option<size::Resources>,
    /// Last recorded checkpoint.
    pub checkpoint: Option<Checkpoint>,
    /// Number of the last recorded attempt.
    pub last_attempt: id::AttemptNumber,
    /// Workers that must not run the task.
    pub excluded: Vec<id::WorkerName>,
    /// Workers on which the task failed.
    pub failed_on: Vec<id::WorkerName>,
    /// Whether the cancellation of the task is recorded.
    pub cancelled: bool,
    /// Why the task is parked, if it is.
    pub parked: Option<action::ParkReason>,
}

impl TaskView {
    /// Creates the view of a new task that never ran.
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
