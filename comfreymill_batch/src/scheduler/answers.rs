use std::time::Duration;

use comfreymill_types::id;

use super::Scheduler;
use crate::action;
use crate::task;

/// # Answers to workers
impl Scheduler {
    /// Returns the assignments for the answer to the heartbeat `sequence` of `incarnation`, which
    /// was just handled. Returns `None` if a newer heartbeat was handled before, since this one
    /// must not be answered then.
    ///
    /// From then on, every attempt in the list counts as known to the worker, whether or not the
    /// answer arrives.
    pub fn desired(
        &mut self,
        worker: &id::WorkerName,
        incarnation: id::Incarnation,
        sequence: u64,
    ) -> Option<Vec<action::Assignment>> {
        let worker = self.fleet.get(self.fleet.find(worker)?);
        if !worker.has_reported || (worker.incarnation, worker.sequence) != (incarnation, sequence)
        {
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
            let directive = match attempt.commit_state {
                task::CommitState::StartProposed => continue,
                task::CommitState::Started => attempt.directive,
                task::CommitState::EndProposed { .. } => action::Directive::Stop,
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

    /// Returns the lease to send with an answer. The worker counts it from the time it sent the
    /// heartbeat.
    pub fn get_lease(&self) -> Duration {
        self.cfg.get_lease()
    }
}
