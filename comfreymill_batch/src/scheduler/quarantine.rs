use comfreymill_types::id;

use super::Scheduler;
use crate::action;
use crate::fleet;
use crate::queue;
use crate::task;

/// Number of other tasks that may have failed on a worker for a failure there to still count
/// against the task.
const MAX_OTHER_FAILURES: usize = 1;
/// Number of healthy workers on which a job may fail, without one success, before the failures
/// are attributed to the job.
const JOB_FAILURE_WORKERS: usize = 1;

/// # Quarantine
impl Scheduler {
    /// Attributes an outcome to the worker or the task, and updates the estimates.
    pub(super) fn observe_outcome(
        &mut self,
        id: id::TaskId,
        attempt: &task::Attempt,
        outcome: &action::Outcome,
    ) {
        match outcome {
            action::Outcome::Finished => self.observe_success(id, attempt),
            action::Outcome::Failed { .. } => self.observe_failure(id, attempt.worker),
            action::Outcome::Stopped { .. } | action::Outcome::Lost { .. } => {
                self.observe_unfinished_probe(id, attempt.worker);
            }
        }
    }

    fn observe_success(&mut self, id: id::TaskId, attempt: &task::Attempt) {
        let class = self.tasks[&id].class;
        if let Some(since) = attempt.running_since {
            let span = self.now.since(since);
            self.catalog.class_mut(class).estimate.observe_run_time(span);
        }
        if let Some(job) = self.jobs.get_mut(&id.job) {
            job.successes += 1;
        }
        let worker = self.fleet.get_mut(attempt.worker);
        worker.unexplained_failures.clear();
        worker.successes += 1;
        let probed = matches!(&worker.health, fleet::Health::Probing { task, .. } if *task == id);
        if probed {
            worker.health = fleet::Health::Healthy;
            let name = worker.name.clone();
            self.suspended.remove(&attempt.worker);
            self.actions.push(action::Action::Release { worker: name });
            self.reindex(attempt.worker);
        }
    }

    fn observe_failure(&mut self, id: id::TaskId, index: fleet::WorkerIndex) {
        let cfg = self.cfg.get_quarantine();
        let name = self.fleet.get(index).name.clone();
        let Some(task) = self.tasks.get_mut(&id) else { return };
        task.avoid(&name);
        task.failures += 1;
        let failed_elsewhere: Vec<id::WorkerName> =
            task.failed_on.iter().filter(|other| **other != name).cloned().collect();
        if !task.failed_on.contains(&name) {
            task.failed_on.push(name.clone());
        }
        let worker = self.fleet.get_mut(index);
        match worker.health.clone() {
            fleet::Health::Probing { task: probe, wait } if probe == id => {
                self.quarantine_worker(index, (wait * 2).min(cfg.longest_wait));
                return;
            }
            fleet::Health::Probing { .. } | fleet::Health::Quarantined { .. } => return,
            fleet::Health::Healthy => {}
        }
        let is_task_fault =
            failed_elsewhere.iter().any(|other| self.counts_against_task(other, id));
        let is_job_fault = self.attribute_to_job(id, index);
        let worker = self.fleet.get_mut(index);
        if !is_task_fault && !is_job_fault {
            worker.unexplained_failures.insert(id);
        }
        let fails_all = worker.unexplained_failures.len() >= cfg.tasks as usize;
        if fails_all {
            self.quarantine_worker(index, cfg.first_wait);
        }
    }

    /// Returns whether the failure is attributed to the job: none of its tasks finished, and it
    /// fails on several workers or another of its tasks already counts against this worker.
    fn attribute_to_job(&mut self, id: id::TaskId, index: fleet::WorkerIndex) -> bool {
        let Some(job) = self.jobs.get_mut(&id.job) else { return false };
        job.failed_on.insert(index);
        if job.successes > 0 {
            return false;
        }
        let workers: Vec<fleet::WorkerIndex> = job.failed_on.iter().copied().collect();
        let healthy = workers.iter().filter(|other| self.fleet.get(**other).is_healthy()).count();
        if healthy > JOB_FAILURE_WORKERS {
            for other in workers {
                self.fleet.get_mut(other).unexplained_failures.retain(|task| task.job != id.job);
            }
            return true;
        }
        self.fleet.get(index).unexplained_failures.iter().any(|task| task.job == id.job)
    }

    /// Quarantines a worker for the same time again if its probe was stopped or lost.
    fn observe_unfinished_probe(&mut self, id: id::TaskId, index: fleet::WorkerIndex) {
        if let fleet::Health::Probing { task, wait } = self.fleet.get(index).health.clone()
            && task == id
        {
            self.quarantine_worker(index, wait);
        }
    }

    fn quarantine_worker(&mut self, index: fleet::WorkerIndex, wait: std::time::Duration) {
        let until = self.now + wait;
        let worker = self.fleet.get_mut(index);
        let is_new = worker.is_healthy();
        worker.health = fleet::Health::Quarantined { until, wait };
        let name = worker.name.clone();
        self.suspended.insert(index);
        if is_new {
            self.actions.push(action::Action::Quarantine { worker: name });
        }
        self.reindex(index);
    }

    /// Returns the number of distinct workers whose failures count against the task.
    pub(super) fn count_failed_workers(&self, id: id::TaskId) -> u32 {
        let task = &self.tasks[&id];
        task.failed_on.iter().filter(|name| self.counts_against_task(name, id)).count() as u32
    }

    /// Returns whether a failure of the task on the worker counts against the task.
    fn counts_against_task(&self, name: &id::WorkerName, id: id::TaskId) -> bool {
        let Some(index) = self.fleet.find(name) else { return true };
        let worker = self.fleet.get(index);
        let others = worker.unexplained_failures.iter().filter(|other| **other != id).count();
        worker.is_healthy() && others <= MAX_OTHER_FAILURES
    }

    /// Starts one task on each worker whose quarantine is over.
    pub(super) fn probe_suspended(&mut self) {
        let due: Vec<(fleet::WorkerIndex, std::time::Duration)> = self
            .suspended
            .iter()
            .filter_map(|index| match self.fleet.get(*index).health {
                fleet::Health::Quarantined { until, wait } if until <= self.now => {
                    Some((*index, wait))
                }
                _ => None,
            })
            .collect();
        for (index, wait) in due {
            let Some(id) = self.find_probe(index) else { continue };
            self.fleet.get_mut(index).health = fleet::Health::Probing { task: id, wait };
            self.start(id, index, "the worker is probed after its quarantine".to_owned());
        }
    }

    /// Returns the waiting task with the fewest failures that fits on the worker and may be run
    /// there as a probe: neither urgent nor limited to one run.
    fn find_probe(&self, index: fleet::WorkerIndex) -> Option<id::TaskId> {
        let worker = self.fleet.get(index);
        let heard = self.now.since(worker.last_heartbeat_at) <= self.get_silence_limit();
        if !heard || worker.leaving || worker.claim.is_some() {
            return None;
        }
        let room = worker.get_room();
        let fits = |lane: &queue::Lane| {
            let class = self.catalog.class(lane.key.class);
            let Some(spec) = &class.spec else { return None };
            let harmless = !spec.unrepeatable && spec.priority < Self::URGENT;
            let (_, id, _) = lane.head()?;
            let task = self.tasks.get(&id)?;
            let need = self.get_need(task);
            let allowed = worker.is_allowed(&spec.rule) && !task.avoids(&worker.name);
            let within_quota = self.catalog.team(task.team).has_quota_for(&need);
            let usable = harmless && allowed && within_quota && need.fits_in(&room);
            usable.then_some((task.failures, id))
        };
        let ready = self.queue.ready().filter_map(|(_, lane)| fits(lane)).min();
        let blocked = self.queue.blocked().filter_map(|(_, lane)| fits(lane)).min();
        ready.into_iter().chain(blocked).min().map(|(_, id)| id)
    }
}
