use comfreymill_types::document;
use comfreymill_types::id;

use super::Learned;

/// What the document in force says of a class of tasks.
#[derive(Clone, Debug)]
pub(crate) struct ClassSpec {
    pub(crate) priority: document::Priority,
    pub(crate) unrepeatable: bool,
    pub(crate) standing: bool,
    pub(crate) rule: document::PlacementRule,
    pub(crate) batch: document::BatchClass,
}

impl ClassSpec {
    /// Specification of `class`, if it is one of tasks.
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

/// Class with what was learned of it.
#[derive(Clone, Debug)]
pub(crate) struct ClassEntry {
    pub(crate) name: id::ClassName,
    pub(crate) stage: document::Stage,
    pub(crate) spec: Option<ClassSpec>,
    pub(crate) learned: Learned,
}

impl ClassEntry {
    pub(crate) fn new(stage: document::Stage, name: id::ClassName) -> Self {
        Self { name, stage, spec: None, learned: Learned::default() }
    }

    /// Whether a task of the class may run at most once; so while its class is not known.
    pub(crate) fn is_unrepeatable(&self) -> bool {
        self.spec.as_ref().is_none_or(|spec| spec.unrepeatable)
    }

    /// Whether its tasks have no end.
    pub(crate) fn is_standing(&self) -> bool {
        self.spec.as_ref().is_some_and(|spec| spec.standing)
    }

    /// Order among waiting work.
    pub(crate) fn get_priority(&self) -> document::Priority {
        self.spec.as_ref().map_or_else(document::Priority::default, |spec| spec.priority)
    }

    /// Price of one eviction, as a multiple of the usual one.
    pub(crate) fn get_eviction_price(&self) -> f64 {
        self.spec.as_ref().map_or(1.0, |spec| spec.batch.eviction_price)
    }
}
