use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::evacuation::ZoneOutcome;
use super::{Command, CrashedRun, GivenUp, Job, JobStatus, State, Submission, Worker};
use crate::id;
use crate::worker;

/// Effect of applying a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A new leader was given this fencing token.
    FenceAssigned(id::Fence),
    /// A new version of the routes is in force.
    RoutesChanged,
    /// A job was accepted.
    JobAdded(id::JobKey),
    /// A job was cancelled by its caller.
    JobCancelled(id::JobKey),
    /// No job has the key that a caller wanted to cancel; one that is submitted later does not run.
    NoSuchJob(id::JobKey),
    /// A job was submitted that its caller had cancelled before: it is stored as cancelled.
    JobCancelledBefore(id::JobKey),
    /// A worker incarnation was added.
    WorkerAdded(id::WorkerNumber),
    /// A worker incarnation is leaving.
    WorkerLeaving(id::WorkerNumber),
    /// Worker incarnations were removed.
    WorkersDropped(Vec<id::WorkerNumber>),
    /// A worker incarnation has crashed and was removed.
    WorkerCrashed {
        /// Number of the incarnation.
        worker: id::WorkerNumber,
        /// Runs that were in progress.
        runs: Vec<CrashedRun>,
        /// Jobs that are given up.
        given_up: Vec<id::JobKey>,
    },
    /// Ends of runs were recorded.
    EndsNoted {
        /// Worker that reported the ends.
        worker: id::WorkerNumber,
        /// Ends that were not recorded before.
        ends: Vec<worker::End>,
    },
    /// An availability zone is evacuated, or its evacuation was withdrawn.
    EvacuationChanged(id::ZoneName),
    /// Another order has changed the zone since the order was received.
    ZoneOrderSuperseded(id::ZoneName),
    /// No change, or none that needs a reaction.
    None,
}

impl State {
    /// Applies a command from the log entry at `index`.
    pub fn apply(&mut self, index: u64, command: Command) -> Effect {
        self.applied = index;
        match command {
            Command::Lead => {
                self.fence = self.fence.next();
                Effect::FenceAssigned(self.fence)
            }
            Command::SetRoutes { table, document } => self.change_routes(*table, document),
            Command::Submit(submission) => self.submit(*submission, None),
            Command::SubmitAt { submission, unix_ms } => self.submit(*submission, Some(unix_ms)),
            Command::Cancel { job } => self.cancel(index, job),
            Command::AddWorker { announced } => {
                self.last_worker = self.last_worker.next();
                if announced.leaving_in.is_some() {
                    self.leaving.insert(self.last_worker, announced.sequence);
                }
                let mut named = self.workers.values().map(|worker| &worker.announced.name);
                if named.any(|name| *name == announced.name)
                    || self.former_workers.contains(&announced.name)
                {
                    self.restarted.insert(self.last_worker);
                }
                let worker = Worker { announced: *announced, noted: 0 };
                self.workers.insert(self.last_worker, worker);
                Effect::WorkerAdded(self.last_worker)
            }
            Command::DropWorkers { workers } => {
                self.drop_workers(&workers);
                Effect::WorkersDropped(workers)
            }
            Command::NoteEnds { worker, ends } => self.record_ends(worker, ends),
            Command::Forget { jobs } => {
                for key in jobs {
                    self.cancellations.remove(key);
                    if self.jobs.get(&key).is_some_and(Job::is_over) {
                        self.jobs.remove(&key);
                        self.given_up.remove(&key);
                    }
                }
                Effect::None
            }
            Command::MarkLeaving { worker, sequence } => {
                if !self.workers.contains_key(&worker) {
                    return Effect::None;
                }
                let newest = self.leaving.entry(worker).or_default();
                *newest = sequence.max(*newest);
                Effect::WorkerLeaving(worker)
            }
            Command::NoteCrash { worker, runs, given_up } => {
                self.note_crash(worker, runs, &given_up)
            }
            Command::SetCapacity { worker, capacity } => {
                if let Some(worker) = self.workers.get_mut(&worker) {
                    worker.announced.capacity = capacity;
                }
                Effect::None
            }
            Command::SetZone { worker, zone } => {
                if let Some(worker) = self.workers.get_mut(&worker) {
                    worker.announced.zone = zone;
                }
                Effect::None
            }
            Command::Evacuate(order) => {
                let zone = order.zone.clone();
                zone_effect(zone, self.evacuations.evacuate(*order))
            }
            Command::WithdrawEvacuation(order) => {
                let zone = order.zone.clone();
                zone_effect(zone, self.evacuations.withdraw(*order))
            }
        }
    }

    fn drop_workers(&mut self, workers: &[id::WorkerNumber]) {
        for number in workers {
            self.restarted.remove(number);
            let leaving_since = self.leaving.remove(number);
            let Some(worker) = self.workers.remove(number) else { continue };
            self.former_workers.record(&worker.announced.name);
            if let Some(sequence) = leaving_since {
                self.departures.record(&worker.announced, sequence);
            }
        }
    }

    fn note_crash(
        &mut self,
        worker: id::WorkerNumber,
        runs: Vec<CrashedRun>,
        given_up: &[id::TaskId],
    ) -> Effect {
        let is_first = self.workers.contains_key(&worker);
        self.drop_workers(&[worker]);
        for crashed in &runs {
            let job = self.jobs.get(&crashed.task.step.job);
            if !job.is_some_and(|job| job.is_open(crashed.task)) {
                continue;
            }
            if !crashed.is_explained() {
                self.crashes.entry(crashed.task).or_default().count(crashed);
            } else if is_first {
                *self.explained_crashes.entry(crashed.task).or_default() += 1;
            }
        }
        let mut jobs = Vec::new();
        for task in given_up {
            let key = task.step.job;
            if let Some(job) = self.jobs.get_mut(&key).filter(|job| job.is_open(*task)) {
                job.end(JobStatus::Failed);
                let crashes = self.get_crashes(*task).crashes + self.get_explained_crashes(*task);
                self.given_up.insert(key, GivenUp { task: *task, crashes });
                self.forget_open(key);
                jobs.push(key);
            }
        }
        Effect::WorkerCrashed { worker, runs, given_up: jobs }
    }

    /// Drops what is kept of a job only while it is open.
    fn forget_open(&mut self, job: id::JobKey) {
        self.accepted.remove(&job);
        for task in self.get_crashed_tasks(job) {
            self.forget_crashes(task);
        }
    }

    fn forget_crashes(&mut self, task: id::TaskId) {
        self.crashes.remove(&task);
        self.explained_crashes.remove(&task);
    }

    fn submit(&mut self, submission: Submission, unix_ms: Option<u64>) -> Effect {
        let Submission { job: key, queue, max_attempts, spec } = submission;
        if self.jobs.contains_key(&key) {
            return Effect::None;
        }
        let is_cancelled = self.cancellations.remove(key);
        let job = Job {
            queue,
            max_attempts,
            spec: Arc::new(spec),
            status: if is_cancelled { JobStatus::Cancelled } else { JobStatus::Open },
            occurrences: BTreeMap::new(),
            finished: BTreeSet::new(),
        };
        self.jobs.insert(key, job);
        if is_cancelled {
            return Effect::JobCancelledBefore(key);
        }
        self.accepted.extend(unix_ms.map(|unix_ms| (key, unix_ms)));
        Effect::JobAdded(key)
    }

    fn cancel(&mut self, index: u64, key: id::JobKey) -> Effect {
        match self.jobs.get_mut(&key) {
            None => {
                self.cancellations.record(key, index);
                Effect::NoSuchJob(key)
            }
            Some(job) if job.is_over() => Effect::None,
            Some(job) => {
                job.end(JobStatus::Cancelled);
                self.forget_open(key);
                Effect::JobCancelled(key)
            }
        }
    }

    fn record_ends(&mut self, number: id::WorkerNumber, ends: Vec<worker::End>) -> Effect {
        let Some(worker) = self.workers.get_mut(&number) else { return Effect::None };
        let mut fresh = Vec::with_capacity(ends.len());
        for end in ends {
            if end.number <= worker.noted {
                continue;
            }
            worker.noted = end.number;
            fresh.push(end);
        }
        for end in &fresh {
            let key = end.task.step.job;
            let Some(job) = self.jobs.get_mut(&key) else { continue };
            job.record_end(end);
            if job.is_over() {
                self.forget_open(key);
            } else if !job.is_open(end.task) {
                self.forget_crashes(end.task);
            }
        }
        Effect::EndsNoted { worker: number, ends: fresh }
    }
}

fn zone_effect(zone: id::ZoneName, outcome: ZoneOutcome) -> Effect {
    match outcome {
        ZoneOutcome::Changed => Effect::EvacuationChanged(zone),
        ZoneOutcome::Superseded => Effect::ZoneOrderSuperseded(zone),
        ZoneOutcome::Unchanged => Effect::None,
    }
}
