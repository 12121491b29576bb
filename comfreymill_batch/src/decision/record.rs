use std::fmt;

use comfreymill_types::id;
use comfreymill_types::time;

use super::Verdict;

/// One decision about a task, with its reason.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// Time of the decision, by the leader's clock.
    pub at: time::Monotonic,
    /// Task that the decision is about.
    pub task: id::TaskId,
    /// Decision that was taken.
    pub verdict: Verdict,
    /// Reason of the decision.
    pub reason: String,
    /// Event that would change the decision; empty if none would.
    pub remedy: String,
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}, since {}", self.at, self.task, self.verdict, self.reason)?;
        if !self.remedy.is_empty() {
            write!(f, "; would change with: {}", self.remedy)?;
        }
        Ok(())
    }
}
