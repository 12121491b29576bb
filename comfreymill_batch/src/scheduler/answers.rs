use std::time::Duration;

use comfreymill_types::id;

use super::Scheduler;
use crate::action;
use crate::task;

/// # Answers to workers
impl Scheduler {
    /// What shall run on a worker: the answer to the heartbeat `sequence` of `incarnation`, which
    /// was just handled; none if a newer one was handled before, as it must not be answered then.
    ///
    /// Every attempt in it counts as given to the worker from then on, whether or not the answer
    /// arrives.
    pub fn desired(
        &mut self,
        worker: &id::WorkerName,
        incarnation: id::Incarnation,
        sequence: u64,
    ) -> Option<Vec<action::Assignment>> {
        let worker = self.fleet.get(self.fleet.find(worker)?);
        if !worker.known || (worker.incarnation, worker.sequence) != (incarnation, sequence) {
            return None;
        }
        let mut listed = Vec::with_capacity(worker.tasks.len());
        for id in &worker.tasks {
            let Some(task) = self.tasks.get_mut(id) else { continue };
            let class = &self.catalog.class(task.class).name;
            let checkpoint = task.checkpoint.clone();
            let Some(attempt) = task.attempt_mut() else { continue };
            if attempt.incarnation != incarnation {
                continue;
            }
            let directive = match attempt.grip {
                task::Grip::Proposed => continue,
                task::Grip::Live => attempt.directive,
                task::Grip::Ending { .. } => action::Directive::Stop,
            };
            attempt.offered = true;
            listed.push(action::Assignment {
                attempt: attempt.id,
                class: class.clone(),
                reserved: attempt.reserved,
                checkpoint,
                directive,
            });
        }
        Some(listed)
    }

    /// Lease that goes with an answer, counted by the worker from when it sent the heartbeat.
    pub fn get_lease(&self) -> Duration {
        self.cfg.get_lease()
    }
}
