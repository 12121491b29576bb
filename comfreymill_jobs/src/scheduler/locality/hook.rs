use comfreymill_types::time;

use super::LocalityCounts;
use super::observed;
use super::wait::{Wait, WaitStatus};
use crate::id;
use crate::job;
use crate::scheduler::Scheduler;
use crate::scheduler::worker::WorkerEntry;

/// Penalty in the score of a worker whose rack is waited for, in thousandths of a core; more than a
/// worker has.
const WANTED_PENALTY: i64 = 50_000;

/// Where a task goes now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::scheduler) enum Place {
    /// To the best of all workers.
    Anywhere,
    /// To this worker, which is near.
    Worker(id::WorkerNumber),
    /// Nowhere: it waits for its rack.
    Wait,
}

/// # Near the data or the group, or now
impl Scheduler {
    /// Takes the counts of what became of tasks that are faster on one rack, since the last call.
    pub fn take_locality_counts(&mut self) -> LocalityCounts {
        std::mem::take(&mut self.locality.counts)
    }

    /// Returns the steps of a job whose tasks wait for their racks.
    pub fn get_rack_waits(&self, now: time::Monotonic, job: id::JobKey) -> Vec<WaitStatus> {
        let first = id::StepId { job, occurrence: 0, step: 0 };
        let last = id::StepId { job, occurrence: u32::MAX, step: u16::MAX };
        let waits = self.locality.waits.range(first..=last);
        let waits = waits.filter(|(_, wait)| !wait.is_given_up);
        let status = |(step, wait): (&id::StepId, &Wait)| WaitStatus {
            step: *step,
            rack: wait.rack.clone(),
            waited: now.since(wait.since),
            expected: wait.case.opening.unwrap_or_default().expected,
            extra: wait.case.extra,
        };
        waits.map(status).collect()
    }

    /// Returns where a ready task goes. Tasks that are as fast on any rack go anywhere at no cost,
    /// and so do fillers and long-running tasks, whose places do not become free.
    pub(in crate::scheduler) fn locality(
        &mut self,
        now: time::Monotonic,
        task: id::TaskId,
        spec: &job::StepSpec,
    ) -> Place {
        let is_sensitive = spec.data_rack.is_some() || spec.is_rack_sensitive;
        if !is_sensitive || self.locality.factor.is_none() {
            return Place::Anywhere;
        }
        if spec.kind() != job::StepKind::Plain || spec.is_long_running {
            return Place::Anywhere;
        }
        let queue = self.jobs.get(&task.step.job).and_then(|job| self.routes.queue(&job.queue));
        let Some(pool) = queue.map(|queue| queue.pool.clone()) else { return Place::Anywhere };
        let pool = pool.as_str();
        self.renew_views(now);
        let rack = match &spec.data_rack {
            Some(rack) => Some(rack.clone()),
            None => self.group_rack(now, pool, task.step, spec),
        };
        // Where a task under which a worker has crashed goes is up to its isolation.
        let is_crashed = self.is_started_apart(task);
        let Some(rack) = rack.filter(|_| !is_crashed) else {
            self.locality.give_up(now, task.step, "no rack");
            return Place::Anywhere;
        };
        if let Some(worker) = self.near_worker(now, pool, task, spec, &rack) {
            return Place::Worker(worker);
        }
        self.weigh_wait(now, pool, task.step, spec, &rack)
    }

    /// Counts a task that is started, and ends its wait.
    pub(in crate::scheduler) fn locality_started(
        &mut self,
        now: time::Monotonic,
        number: id::WorkerNumber,
        task: id::TaskId,
        spec: &job::StepSpec,
    ) {
        let is_sensitive = spec.data_rack.is_some() || spec.is_rack_sensitive;
        if !is_sensitive || self.locality.factor.is_none() {
            return;
        }
        let Some(entry) = self.workers.get(&number) else { return };
        let is_split = spec.is_rack_sensitive && self.racks_of_step(task.step).len() > 1;
        let is_near = !is_split && !observed::is_away(entry, spec);
        self.locality.count(is_near);
        if !is_near {
            self.locality.give_up(now, task.step, "a task is started elsewhere");
        }
        if !self.ready.has_tasks(task.step) {
            self.locality.all_started(now, task.step);
        }
    }

    /// Returns the worker of the rack with the least free processor time that has room for the
    /// task.
    fn near_worker(
        &mut self,
        now: time::Monotonic,
        pool: &str,
        task: id::TaskId,
        spec: &job::StepSpec,
        rack: &str,
    ) -> Option<id::WorkerNumber> {
        let needs = spec.reserved();
        let view = self.locality.views.get(rack);
        if view.is_some_and(|view| view.full.iter().any(|full| needs.covers(full))) {
            return None;
        }
        let numbers = self.locality.racks.workers(rack).iter();
        self.steps += numbers.len() as u64;
        let entries = numbers.filter_map(|number| Some((*number, self.workers.get(number)?)));
        let fitting = entries.filter(|(_, entry)| {
            entry.announcement.pool == pool
                && entry.fits(now, task, spec)
                && entry.isolation_penalty(now, false) == 0
        });
        let best = fitting.min_by_key(|(number, entry)| (entry.free().cpu_milli, *number));
        let best = best.map(|(number, _)| number);
        let has_worker_limits = spec.required_label.is_some() || spec.max_per_worker.is_some();
        if best.is_none() && !has_worker_limits {
            let mut view = self.take_view(now, rack);
            view.full.push(needs);
            self.locality.views.insert(rack.to_owned(), view);
        }
        best
    }

    /// Drops views of racks that are out of date, and what is known of steps without ready tasks.
    fn renew_views(&mut self, now: time::Monotonic) {
        if !self.locality.begin_renewal(now) {
            return;
        }
        self.locality.racks.update(&self.workers);
        let ready = &self.ready;
        self.locality.waits.retain(|step, _| ready.has_tasks(*step));
    }
}

impl WorkerEntry {
    /// Returns the penalty in the score of the worker for a task that is as fast elsewhere, while
    /// others wait for the worker's rack.
    pub(in crate::scheduler) fn wanted_penalty(
        &self,
        now: time::Monotonic,
        spec: &job::StepSpec,
    ) -> i64 {
        let is_wanted = now < self.wanted_until;
        let is_near = spec.data_rack.is_some() && !observed::is_away(self, spec);
        if is_wanted && !is_near { WANTED_PENALTY } else { 0 }
    }
}
