use std::sync::Arc;
use std::time::Duration;

use comfreymill_types::time;

use super::Scheduler;
use super::task::{JobEntry, OccurrenceEntry, TaskPhase};
use crate::id;
use crate::job;
use crate::state;

/// Delay of each occurrence beyond its due time, so that it never begins early although the clocks
/// of machines differ.
const OCCURRENCE_MARGIN: Duration = Duration::from_millis(50);

/// # Jobs and occurrences
impl Scheduler {
    /// Handles a newly accepted job.
    pub fn job_added(&mut self, now: time::Monotonic, key: id::JobKey, job: &state::Job) {
        let entry = JobEntry::new(job, now);
        if entry.spec.schedule.is_some() {
            self.recurring.insert(key);
        }
        self.jobs.insert(key, entry);
        self.begin_due(now, key);
    }

    /// Removes a job that is over and stops its remaining runs.
    pub fn job_over(&mut self, now: time::Monotonic, key: id::JobKey) {
        let Some(job) = self.jobs.remove(&key) else { return };
        self.recurring.remove(&key);
        self.ready.remove_job(key);
        self.interference.job_over(key);
        self.ended.push_back((now, key));
        for (worker, task) in job.placed(key) {
            self.steps += 1;
            self.stop(now, worker, task);
        }
    }

    /// Handles the cancellation of a job that is not known, or its submission after that; either is
    /// remembered for as long as the outcome of a job.
    pub fn cancelled_before(&mut self, now: time::Monotonic, key: id::JobKey) {
        self.ended.retain(|(_, ended)| *ended != key);
        self.ended.push_back((now, key));
    }

    /// Records that a worker has begun a task of the job; an order to start one does not count,
    /// since it may never be carried out.
    pub(super) fn mark_started(&mut self, key: id::JobKey) {
        if let Some(job) = self.jobs.get_mut(&key) {
            job.has_started = true;
        }
    }

    /// Returns whether occurrence `number` may begin.
    pub(super) fn is_due(&self, now: time::Monotonic, spec: &job::JobSpec, number: u32) -> bool {
        let Some(schedule) = spec.schedule else { return true };
        self.since_1970(now) >= schedule.due_at(number) + OCCURRENCE_MARGIN
    }

    /// Begins the occurrences of a job that are due, as far as enough earlier ones are finished.
    pub(super) fn begin_due(&mut self, now: time::Monotonic, key: id::JobKey) {
        loop {
            let Some(job) = self.jobs.get(&key) else { return };
            let number = job.next_occurrence;
            let spec = Arc::clone(&job.spec);
            let is_full = job.occurrences.len() >= spec.max_open_occurrences();
            if is_full || number >= spec.occurrences() || !self.is_due(now, &spec, number) {
                return;
            }
            if let Some(job) = self.jobs.get_mut(&key) {
                job.next_occurrence += 1;
                job.occurrences.insert(number, OccurrenceEntry::new(&spec, None, now));
            }
            self.unblock(now, key, number);
        }
    }

    /// Makes the blocked tasks ready whose steps have no unfinished dependency left.
    pub(super) fn unblock(&mut self, now: time::Monotonic, key: id::JobKey, number: u32) {
        let Some(job) = self.jobs.get(&key) else { return };
        let Some(occurrence) = job.occurrences.get(&number) else { return };
        let mut ready = Vec::new();
        for (index, spec) in job.spec.steps.iter().enumerate() {
            let tasks = &occurrence.steps[index].tasks;
            let is_waiting = tasks.iter().any(|task| task.phase == TaskPhase::Blocked);
            if !is_waiting || !occurrence.is_unblocked(spec) {
                continue;
            }
            let step = u16::try_from(index).unwrap_or(u16::MAX);
            let step = id::StepId { job: key, occurrence: number, step };
            let blocked = tasks.iter().enumerate();
            let blocked = blocked.filter(|(_, task)| task.phase == TaskPhase::Blocked);
            ready.extend(
                blocked.map(|(index, _)| step.task(u16::try_from(index).unwrap_or(u16::MAX))),
            );
        }
        for task in ready {
            self.make_ready(now, task);
        }
    }
}
