use comfreymill_types::document;
use comfreymill_types::id;

use super::TaskEstimate;

/// Settings of a task class in the document in force.
#[derive(Clone, Debug)]
pub(crate) struct ClassSpec {
    pub(crate) priority: document::Priority,
    pub(crate) unrepeatable: bool,
    pub(crate) standing: bool,
    pub(crate) rule: document::PlacementRule,
    pub(crate) batch: document::BatchClass,
}

impl ClassSpec {
    /// Returns the specification of `class`, or `None` if it is not a task class.
    pub(crate) fn of(class: &document::Class) -> Option<Self> {
        let batch = class.as_task()?.clone();
        Some(Self {
            priority: class.priority,
            unrepeatable: class.unrepeatable,
            standing: class.is_standing(),
            rule: class.runs_in.clone(),
            batch,
        })
    }
}

/// Class with the estimates learned from its tasks.
#[derive(Clone, Debug)]
pub(crate) struct ClassEntry {
    pub(crate) name: id::ClassName,
    pub(crate) stage: document::Stage,
    pub(crate) spec: Option<ClassSpec>,
    pub(crate) estimate: TaskEstimate,
}

impl ClassEntry {
    pub(crate) fn new(stage: document::Stage, name: id::ClassName) -> Self {
        Self { name, stage, spec: None, estimate: TaskEstimate::default() }
    }

    /// Returns whether a task of the class may run at most once. True while the class is unknown,
    /// as a second run could repeat an effect.
    pub(crate) fn is_unrepeatable(&self) -> bool {
        self.spec.as_ref().is_none_or(|spec| spec.unrepeatable)
    }

    /// Returns whether tasks of the class run without end.
    pub(crate) fn is_standing(&self) -> bool {
        self.spec.as_ref().is_some_and(|spec| spec.standing)
    }

    /// Returns the priority among waiting tasks.
    pub(crate) fn get_priority(&self) -> document::Priority {
        self.spec.as_ref().map_or_else(document::Priority::default, |spec| spec.priority)
    }

    /// Returns the price of one eviction, as a multiple of the default price.
    pub(crate) fn get_eviction_price(&self) -> f64 {
        self.spec.as_ref().map_or(1.0, |spec| spec.batch.eviction_price)
    }
}
