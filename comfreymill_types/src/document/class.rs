use super::{BatchClass, PlacementRule, Priority, PromptClass};
use crate::id;

/// Class of prompt requests or of tasks, with its priority and placement rule.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name, unique in the document.
    pub name: id::ClassName,
    /// Priority in the queues.
    #[serde(default)]
    pub priority: Priority,
    /// Whether a request or task may run at most once.
    #[serde(default)]
    pub unrepeatable: bool,
    /// Regions and zones in which the class may run.
    #[serde(default)]
    pub runs_in: PlacementRule,
    /// Kind of work and its requirements.
    pub kind: ClassKind,
}

/// Kind of work in a class, with its requirements.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClassKind {
    /// Latency-critical requests, answered by the executors of a service.
    Prompt(PromptClass),
    /// Tasks that run to completion.
    Batch(BatchClass),
    /// Tasks that run until they are stopped.
    Standing(BatchClass),
}

impl Class {
    /// Returns the requirements of a prompt class, or `None` for a class of tasks.
    pub fn as_prompt(&self) -> Option<&PromptClass> {
        match &self.kind {
            ClassKind::Prompt(prompt) => Some(prompt),
            ClassKind::Batch(_) | ClassKind::Standing(_) => None,
        }
    }

    /// Returns the requirements of a batch or standing class, or `None` for a prompt class.
    pub fn as_task(&self) -> Option<&BatchClass> {
        match &self.kind {
            ClassKind::Prompt(_) => None,
            ClassKind::Batch(batch) | ClassKind::Standing(batch) => Some(batch),
        }
    }

    /// Returns whether this is a class of standing tasks.
    pub fn is_standing(&self) -> bool {
        matches!(self.kind, ClassKind::Standing(_))
    }
}
