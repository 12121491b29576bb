use std::fmt;

use comfreymill_types::size;

/// Why a task is parked.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ParkReason {
    /// No worker that the class allows is large enough for the task.
    NeverFits {
        /// Resources that the task needs.
        needed: size::Resources,
        /// Resources beside the executors on the allowed worker that comes nearest to the need.
        largest: size::Resources,
    },
    /// The task alone exceeds the quota of its team.
    OverQuota {
        /// Resources that the task needs.
        needed: size::Resources,
        /// Quota of the team.
        quota: size::Resources,
    },
    /// The task failed too often, or on too many workers.
    FailedRepeatedly {
        /// Number of distinct workers on which the task failed.
        workers: u32,
        /// Reason of the last failure.
        last: String,
    },
    /// The task may run at most once and may already have run.
    OutcomeUnknown {
        /// What happened to the attempt.
        detail: String,
    },
}

impl ParkReason {
    /// Returns whether the scheduler unparks the task once the fleet or the quota allows it.
    pub fn unparks_automatically(&self) -> bool {
        matches!(self, Self::NeverFits { .. } | Self::OverQuota { .. })
    }

    /// Returns what would make the task run.
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
