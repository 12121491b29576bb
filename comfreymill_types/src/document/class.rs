use super::{BatchClass, PlacementRule, Priority, PromptClass};
use crate::id;

/// Class of requests or tasks.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class.
    pub name: id::ClassName,
    /// Order among waiting work.
    #[serde(default)]
    pub priority: Priority,
    /// Whether a request or task may run at most once.
    #[serde(default)]
    pub unrepeatable: bool,
    /// Where it may run.
    #[serde(default)]
    pub runs_in: PlacementRule,
    /// Kind with what it asks.
    pub kind: ClassKind,
}

/// Kind of a class.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClassKind {
    /// Requests answered at once by a service's executors.
    Prompt(PromptClass),
    /// Tasks that finish.
    Batch(BatchClass),
    /// Tasks without an end.
    Standing(BatchClass),
}

impl Class {
    /// Demands of a prompt class, if it is one.
    pub fn as_prompt(&self) -> Option<&PromptClass> {
        match &self.kind {
            ClassKind::Prompt(prompt) => Some(prompt),
            ClassKind::Batch(_) | ClassKind::Standing(_) => None,
        }
    }

    /// Demands of a class of tasks, if it is one.
    pub fn as_task(&self) -> Option<&BatchClass> {
        match &self.kind {
            ClassKind::Prompt(_) => None,
            ClassKind::Batch(batch) | ClassKind::Standing(batch) => Some(batch),
        }
    }

    /// Whether its tasks have no end.
    pub fn is_standing(&self) -> bool {
        matches!(self.kind, ClassKind::Standing(_))
    }
}
