use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use comfreymill_types::time;

use super::interference::Interference;
use super::queue::ReadyQueue;
use super::task::{JobEntry, OccurrenceEntry, TaskPhase};
use super::worker::WorkerEntry;
use super::{Config, Scheduler};
use crate::id;
use crate::state;

impl Scheduler {
    /// Creates the scheduler of a new leader from the replicated state.
    ///
    /// Tasks that are not done may still run wherever an earlier leader started them, so they are
    /// placed only once every known worker has reported or its lease has expired. `since_1970` is
    /// the time of day.
    pub fn new(
        cfg: Config,
        state: &state::State,
        since_1970: Duration,
        now: time::Monotonic,
    ) -> Self {
        let lease_over_at = now + cfg.max_leader_time(cfg.get_lease());
        let workers = state.get_workers().iter().map(|(number, worker)| {
            let leaving_since = state.get_leaving().get(number).copied();
            (*number, WorkerEntry::new(worker.clone(), leaving_since, lease_over_at, now))
        });
        let unix_ms = u64::try_from(since_1970.as_millis()).unwrap_or(u64::MAX);
        let mut scheduler = Self {
            cfg,
            fence: state.get_fence(),
            is_fenced: false,
            routes: state.get_routes().map(|routes| routes.table.clone()).unwrap_or_default(),
            jobs: BTreeMap::new(),
            workers: workers.collect(),
            ready: ReadyQueue::default(),
            interference: Interference::default(),
            pending_workers: BTreeMap::new(),
            departures: state.get_departures().clone(),
            zones: BTreeMap::new(),
            moves: BTreeMap::new(),
            move_cursor: None,
            moves_begun_at: time::Monotonic::ZERO,
            has_unreconciled: true,
            needs_placement: true,
            ended: VecDeque::new(),
            unix_offset_ms: unix_ms.saturating_sub(now.as_micros() / 1_000),
            placed_at: now,
            holds_updated_at: time::Monotonic::ZERO,
            fleet_logged_at: now,
            orders: Vec::new(),
            commands: Vec::new(),
        };
        scheduler.restore_zones(now, since_1970, state);
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
        let mut entry = JobEntry {
            queue: job.queue.clone(),
            spec: job.spec.clone(),
            occurrences: BTreeMap::new(),
            next_occurrence: 0,
            accepted_at: now,
            has_started: !job.occurrences.is_empty() || !job.finished.is_empty(),
        };
        // An occurrence that is not due yet was not started by an earlier leader, except possibly
        // slightly early, in which case the state may have ends for it.
        for number in 0..job.spec.occurrences() {
            if !self.is_due(now, &job.spec, number) && !job.occurrences.contains_key(&number) {
                break;
            }
            entry.next_occurrence = number + 1;
            if job.finished.contains(&number) {
                continue;
            }
            let recorded = job.occurrences.get(&number);
            let mut occurrence = OccurrenceEntry::new(&job.spec, recorded, now);
            for (index, step) in (0..).zip(&mut occurrence.steps) {
                let step_id = id::StepId { job: key, occurrence: number, step: index };
                for (index, task) in (0..).zip(&mut step.tasks) {
                    if task.phase == TaskPhase::Blocked {
                        task.phase = TaskPhase::Unreconciled;
                        task.crashes = state.get_crashes(step_id.task(index));
                    }
                }
            }
            entry.occurrences.insert(number, occurrence);
        }
        self.jobs.insert(key, entry);
    }

    /// Makes tasks of earlier leaders available for placement once every worker has reported its
    /// runs or its lease has expired.
    pub(super) fn reconcile(&mut self, now: time::Monotonic) {
        if !self.has_unreconciled {
            return;
        }
        // Busy workers report new ends all the time; only those of their first report matter.
        let mut is_complete = true;
        for worker in self.workers.values_mut() {
            worker.had_known_runs |= worker.has_known_runs(now);
            is_complete &= worker.had_known_runs;
        }
        if !is_complete {
            return;
        }
        self.has_unreconciled = false;
        let jobs: Vec<id::JobKey> = self.jobs.keys().copied().collect();
        let mut released = 0;
        for job in jobs {
            released += self.release_unreconciled(now, job);
        }
        log::info!(target: "schedule", fence:% = self.fence, tasks = released, workers = self.workers.len(); "all runs of earlier leaders are known");
    }

    fn release_unreconciled(&mut self, now: time::Monotonic, job: id::JobKey) -> usize {
        let Some(entry) = self.jobs.get_mut(&job) else { return 0 };
        let mut released = 0;
        for occurrence in entry.occurrences.values_mut() {
            let tasks = occurrence.steps.iter_mut().flat_map(|step| step.tasks.iter_mut());
            for task in tasks.filter(|task| task.phase == TaskPhase::Unreconciled) {
                task.phase = TaskPhase::Blocked;
                released += 1;
            }
        }
        let numbers: Vec<u32> = entry.occurrences.keys().copied().collect();
        for number in numbers {
            self.unblock(now, job, number);
        }
        released
    }
}
