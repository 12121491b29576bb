use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use comfreymill_types::time;

use super::interference::Interference;
use super::locality::Locality;
use super::packing::Packing;
use super::queue::ReadyQueue;
use super::refusals::Refusals;
use super::rounds::Rounds;
use super::task::{JobEntry, OccurrenceEntry, TaskPhase};
use super::worker::WorkerEntry;
use super::workers::Workers;
use super::{Config, Scheduler};
use crate::id;
use crate::state;

impl Scheduler {
    /// Creates the scheduler of a new leader from the replicated state.
    ///
    /// Tasks that are not done may still run wherever an earlier leader started them, so they are
    /// placed only once every known worker has reported or its lease has expired; tasks of steps that
    /// wait for others have never been started. `since_1970` is
    /// the time of day.
    pub fn new(
        cfg: Config,
        state: &state::State,
        since_1970: Duration,
        now: time::Monotonic,
    ) -> Self {
        let lease_over_at = now + cfg.max_leader_time(cfg.get_lease());
        let mut workers = Workers::default();
        for (number, worker) in state.get_workers() {
            let leaving_since = state.get_leaving().get(number).copied();
            let mut entry = WorkerEntry::new(worker.clone(), leaving_since, lease_over_at, now);
            if state.is_restarted(*number) {
                entry.restore_restart(&cfg, since_1970, now);
            }
            workers.insert(*number, entry);
        }
        let unix_ms = u64::try_from(since_1970.as_millis()).unwrap_or(u64::MAX);
        let mut scheduler = Self {
            cfg,
            first_fence: state.get_fence(),
            fence: state.get_fence(),
            is_fenced: false,
            routes: state.get_job_routes(),
            jobs: BTreeMap::new(),
            unheard: state.get_workers().keys().copied().collect(),
            workers,
            ready: ReadyQueue::default(),
            interference: Interference::default(),
            packing: Packing::default(),
            locality: Locality::new(cfg.get_remote_factor()),
            pending_workers: BTreeMap::new(),
            refusals: Refusals::default(),
            departures: state.get_departures().clone(),
            recent_crashes: VecDeque::new(),
            former_workers: state.get_former_workers().clone(),
            zones: BTreeMap::new(),
            moves: BTreeMap::new(),
            move_cursor: None,
            moves_begun_at: time::Monotonic::ZERO,
            needs_placement: true,
            ended: VecDeque::new(),
            unix_offset_ms: unix_ms.saturating_sub(now.as_micros() / 1_000),
            placed_at: now,
            holds_updated_at: time::Monotonic::ZERO,
            fillers_tried_at: time::Monotonic::ZERO,
            is_deferring: false,
            fleet_logged_at: now,
            rounds: Rounds::default(),
            unreconciled: BTreeSet::new(),
            released: 0,
            adopted: 0,
            held: Vec::new(),
            stops: BTreeSet::new(),
            recurring: BTreeSet::new(),
            steps: 0,
            orders: Vec::new(),
            commands: Vec::new(),
        };
        scheduler.restore_zones(now, since_1970, state);
        scheduler.ended.extend(state.get_cancellations().iter().map(|key| (now, key)));
        for (key, job) in state.get_jobs() {
            if job.is_over() {
                scheduler.ended.push_back((now, *key));
            } else {
                scheduler.restore_job(now, *key, job, state);
            }
        }
        scheduler
    }

    fn restore_job(
        &mut self,
        now: time::Monotonic,
        key: id::JobKey,
        job: &state::Job,
        state: &state::State,
    ) {
        let mut entry = JobEntry::new(job, now);
        let since_1970 = self.since_1970(now);
        let accepted = state.get_accepted_unix_ms(key).map(Duration::from_millis);
        // An occurrence that is not due yet was not started by an earlier leader, except possibly
        // slightly early, in which case the state may have ends for it.
        for number in 0..job.spec.occurrences() {
            let is_full = entry.occurrences.len() >= job.spec.max_open_occurrences();
            let is_due = self.is_due(now, &job.spec, number) && !is_full;
            if !is_due && !job.occurrences.contains_key(&number) {
                break;
            }
            entry.next_occurrence = number + 1;
            if job.finished.contains(&number) {
                continue;
            }
            let recorded = job.occurrences.get(&number);
            let mut occurrence = OccurrenceEntry::new(&job.spec, recorded, now);
            // A long-running job is of the same use at any age.
            if !job.spec.is_long_running() {
                let due = job.spec.schedule.map(|schedule| schedule.due_at(number));
                let due = due.or(accepted).unwrap_or(since_1970);
                occurrence.waited = since_1970.saturating_sub(due);
            }
            // A step that waits for others was not started by an earlier leader, which acted on ends
            // only once they were in the log.
            let unblocked = job.spec.steps.iter().map(|step| occurrence.is_unblocked(step));
            let unblocked: Vec<bool> = unblocked.collect();
            for ((index, step), is_unblocked) in (0..).zip(&mut occurrence.steps).zip(unblocked) {
                let step_id = id::StepId { job: key, occurrence: number, step: index };
                for (index, task) in (0..).zip(&mut step.tasks) {
                    if task.phase == TaskPhase::Blocked {
                        if is_unblocked {
                            task.phase = TaskPhase::Unreconciled;
                        }
                        task.crashes = state.get_crashes(step_id.task(index));
                        task.explained_crashes = state.get_explained_crashes(step_id.task(index));
                        task.explained_at = now;
                    }
                }
            }
            entry.occurrences.insert(number, occurrence);
        }
        if entry.spec.schedule.is_some() {
            self.recurring.insert(key);
        }
        self.unreconciled.insert(key);
        self.jobs.insert(key, entry);
    }

    /// Learns which workers' runs that earlier leaders started are known by now.
    pub(super) fn reconcile(&mut self, now: time::Monotonic) {
        if self.unheard.is_empty() {
            return;
        }
        // Busy workers report new ends all the time; only those of their first report matter.
        self.steps += self.unheard.len() as u64;
        self.unheard.retain(|number| {
            self.workers.get(number).is_some_and(|worker| !worker.has_known_runs(now))
        });
        if self.unheard.is_empty() {
            log::info!(target: "schedule", fence:% = self.fence, jobs = self.unreconciled.len(), runs = self.adopted, workers = self.workers.len(); "all runs of earlier leaders are known");
        }
    }

    /// Returns whether tasks of earlier leaders can be made available for placement: every worker
    /// has reported its runs, or its lease has expired.
    pub(super) fn can_release_unreconciled(&self) -> bool {
        self.unheard.is_empty() && !self.unreconciled.is_empty()
    }

    /// Makes tasks of earlier leaders available for placement, up to the step of work `last_step`.
    pub(super) fn release_unreconciled(&mut self, now: time::Monotonic, last_step: u64) {
        if !self.can_release_unreconciled() {
            return;
        }
        while self.steps < last_step {
            let Some(job) = self.unreconciled.pop_first() else { break };
            self.steps += 1;
            self.release_job(now, job);
        }
        if self.unreconciled.is_empty() {
            log::info!(target: "schedule", fence:% = self.fence, tasks = self.released; "all tasks of earlier leaders are available");
        }
    }

    fn release_job(&mut self, now: time::Monotonic, job: id::JobKey) {
        let Some(entry) = self.jobs.get_mut(&job) else { return };
        for occurrence in entry.occurrences.values_mut() {
            let tasks = occurrence.steps.iter_mut().flat_map(|step| step.tasks.iter_mut());
            for task in tasks.filter(|task| task.phase == TaskPhase::Unreconciled) {
                task.phase = TaskPhase::Blocked;
                self.released += 1;
                self.steps += 1;
            }
        }
        let numbers: Vec<u32> = entry.occurrences.keys().copied().collect();
        for number in numbers {
            self.unblock(now, job, number);
        }
    }
}
