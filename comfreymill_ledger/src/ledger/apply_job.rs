use std::sync::Arc;

use comfreymill_types::error::ErrorKind;
use comfreymill_types::id;

use super::Ledger;
use super::ledger::SubmittedJob;
use crate::codec;
use crate::command::Reply;
use crate::job;

const MAX_TASKS_PER_JOB: u32 = 10_000;
const MAX_ENDED_JOBS: usize = 20_000;
const MAX_KEYS_OF_DROPPED_JOBS: usize = 65_536;

impl Ledger {
    pub(super) fn submit_job(
        &mut self,
        key: id::IdempotencyKey,
        spec: job::JobSpec,
        unrepeatable: bool,
    ) -> Reply {
        let digest = id::Digest::of(&codec::encode(&spec));
        if let Some(known) = self.job_keys.get(&key) {
            if known.digest == digest {
                return Reply::Job { job: known.job };
            }
            let message = format!("key {key} was used for {}", known.job);
            return Reply::refused(ErrorKind::KeyReused, message);
        }
        if !(1..=MAX_TASKS_PER_JOB).contains(&spec.tasks) {
            let message = format!("tasks: a job has 1 to {MAX_TASKS_PER_JOB} tasks");
            return Reply::refused(ErrorKind::InvalidJob, message);
        }
        self.next_job += 1;
        let job = id::JobId::new(self.next_job);
        let tasks = (0..spec.tasks).map(|_| job::Task::new()).collect();
        let accepted = job::Job {
            key: key.clone(),
            spec: Arc::new(spec),
            unrepeatable,
            accepted_at: self.now,
            cancelled: false,
            tasks,
        };
        self.jobs.insert(job, accepted);
        self.job_keys.insert(key, SubmittedJob { job, digest });
        Reply::Job { job }
    }

    pub(super) fn cancel_job(&mut self, id: id::JobId) -> Reply {
        let Some(job) = self.jobs.get_mut(&id) else {
            return Reply::refused(ErrorKind::NotFound, format!("there is no job {id}"));
        };
        let was_active = job.get_state() == job::JobState::Active;
        job.cancelled = true;
        for task in &mut job.tasks {
            let is_pending =
                matches!(task.state, job::TaskState::Waiting | job::TaskState::Parked(_));
            if is_pending {
                task.state = job::TaskState::Cancelled;
            }
        }
        if was_active {
            self.record_if_ended(id);
        }
        Reply::Done
    }

    /// Registers `id` as ended if it has ended, and drops the oldest ended job over the limit.
    pub(super) fn record_if_ended(&mut self, id: id::JobId) {
        let ended = self.jobs.get(&id).is_some_and(|job| {
            matches!(job.get_state(), job::JobState::Finished | job::JobState::Cancelled)
        });
        if !ended {
            return;
        }
        self.ended_jobs.push_back(id);
        if self.ended_jobs.len() > MAX_ENDED_JOBS {
            self.drop_oldest_ended();
        }
    }

    fn drop_oldest_ended(&mut self) {
        let Some(oldest) = self.ended_jobs.pop_front() else { return };
        let Some(job) = self.jobs.remove(&oldest) else { return };
        // The key is kept after the job is dropped, so that late resends are still recognized.
        self.ended_keys.push_back(job.key);
        if self.ended_keys.len() > MAX_KEYS_OF_DROPPED_JOBS
            && let Some(key) = self.ended_keys.pop_front()
        {
            self.job_keys.remove(&key);
        }
    }
}
