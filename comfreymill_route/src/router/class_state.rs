use std::time::Duration;

use comfreymill_types::document;

use super::estimate::Estimate;

/// Weight of a new sample in the latency estimate.
const CLASS_LATENCY_WEIGHT: f64 = 0.05;
/// Latency assumed before the first sample, in microseconds.
const INITIAL_LATENCY_MICROS: f64 = 1_000.0;

/// Prompt class from the document, with its queue length and measured latency.
#[derive(Debug)]
pub(super) struct ClassState {
    /// Index of the pool of the class's service.
    pub(super) pool: usize,
    pub(super) priority: document::Priority,
    pub(super) unrepeatable: bool,
    pub(super) deadline: Duration,
    pub(super) queue_limit: usize,
    pub(super) rule: document::PlacementRule,
    /// Whether the document in force still defines the class.
    pub(super) in_force: bool,
    /// Number of queued requests of the class.
    pub(super) queued: usize,
    /// Time from sending a request to the end of its answer, in microseconds.
    pub(super) latency: Estimate,
}

impl ClassState {
    pub(super) fn new(
        class: &document::Class,
        prompt: &document::PromptClass,
        pool: usize,
    ) -> Self {
        Self {
            pool,
            priority: class.priority,
            unrepeatable: class.unrepeatable,
            deadline: prompt.deadline.get_duration(),
            queue_limit: prompt.queue_limit as usize,
            rule: class.runs_in.clone(),
            in_force: true,
            queued: 0,
            latency: Estimate::new(INITIAL_LATENCY_MICROS, CLASS_LATENCY_WEIGHT),
        }
    }

    /// Replaces the class's values with those of the document in force.
    pub(super) fn update(
        &mut self,
        class: &document::Class,
        prompt: &document::PromptClass,
        pool: usize,
    ) {
        self.priority = class.priority;
        self.unrepeatable = class.unrepeatable;
        self.deadline = prompt.deadline.get_duration();
        self.queue_limit = prompt.queue_limit as usize;
        self.rule = class.runs_in.clone();
        self.in_force = true;
        if self.queued == 0 {
            self.pool = pool;
        }
    }

    /// Returns whether the class may run in every region and zone.
    pub(super) fn is_unrestricted(&self) -> bool {
        self.rule.regions.is_empty() && self.rule.zones.is_empty()
    }

    /// Returns the time within which an answer is likely, in microseconds; zero before the first
    /// sample.
    pub(super) fn likely_latency_micros(&self) -> f64 {
        if self.latency.get_samples() == 0 {
            return 0.0;
        }
        self.latency.get_mean() + self.latency.get_deviation()
    }
}
