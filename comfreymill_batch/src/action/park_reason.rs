use std::fmt;

use comfreymill_types::size;

/// Why a task waits for a person, with what would make it run.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ParkReason {
    /// No worker that its class allows can hold it.
    NeverFits {
        /// What it needs.
        needed: size::Resources,
        /// Largest amounts that one allowed worker has beside its executors.
        largest: size::Resources,
    },
    /// It needs more than its team may ever hold.
    OverQuota {
        /// What it needs.
        needed: size::Resources,
        /// Quota of the team.
        quota: size::Resources,
    },
    /// It failed on several workers.
    FailedRepeatedly {
        /// Separate workers on which it failed.
        workers: u32,
        /// Last reason given.
        last: String,
    },
    /// It may run at most once and may have run.
    OutcomeUnknown {
        /// What happened to the attempt.
        detail: String,
    },
}

impl ParkReason {
    /// Whether the task runs by itself once the fleet or the document allows it.
    pub fn is_lifted_by_itself(&self) -> bool {
        matches!(self, Self::NeverFits { .. } | Self::OverQuota { .. })
    }

    /// What would make the task run.
    pub fn get_remedy(&self) -> String {
        match self {
            Self::NeverFits { needed, .. } => {
                format!("a worker with {needed} to spare, a smaller size or a wider rule")
            }
            Self::OverQuota { .. } => "a larger quota of the team or a smaller size".to_owned(),
            Self::FailedRepeatedly { .. } => {
                "mend the job, then release the task by hand".to_owned()
            }
            Self::OutcomeUnknown { .. } => {
                "find out whether it took effect, then release or cancel it by hand".to_owned()
            }
        }
    }
}

impl fmt::Display for ParkReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NeverFits { needed, largest } => {
                write!(f, "it needs {needed} and the largest allowed worker has {largest}")
            }
            Self::OverQuota { needed, quota } => {
                write!(f, "it needs {needed} and the quota of its team is {quota}")
            }
            Self::FailedRepeatedly { workers, last } => {
                write!(f, "it failed on {workers} workers, last with: {last}")
            }
            Self::OutcomeUnknown { detail } => {
                write!(f, "it may run at most once and its outcome is unknown: {detail}")
            }
        }
    }
}
