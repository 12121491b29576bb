use std::time::Duration;

use comfreymill_types::time;

use super::run::{RunEntry, RunPhase};
use super::task::TaskPhase;
use super::{Order, Scheduler};
use crate::id;
use crate::job;

/// Time for which a start order may wait to be sent; workers that are leaving and callers that
/// cancel a job allow a few seconds until the last start.
const START_VALIDITY: Duration = Duration::from_secs(1);

/// # Start orders
impl Scheduler {
    /// Starts a task on a worker, and grants the worker a lease for it.
    pub(super) fn start(
        &mut self,
        now: time::Monotonic,
        number: id::WorkerNumber,
        task: id::TaskId,
        spec: &job::StepSpec,
    ) {
        let cfg = self.cfg;
        let image = self.interference.intern(spec.image.as_deref());
        let Some(entry) = self.task_mut(task) else { return };
        let (last, checkpoint) = (entry.run, entry.checkpoint.clone());
        let has_crashes = self.is_started_apart(task);
        let run = self.next_run(last);
        let Some(worker) = self.workers.get_mut(&number) else { return };
        let Some(lease_until_ms) = worker.grant_lease(&cfg, now) else { return };
        let entry = RunEntry::new(run, RunPhase::Starting, spec, image, now);
        worker.add(task, entry);
        worker.record_start(now, has_crashes);
        // The worker is polled from the start on, so that the end is reported at once.
        worker.next_poll_at = worker.next_poll_at.min(now);
        let free = worker.free();
        let report_age_ms = now.since(worker.reported_at).as_millis() as u64;
        let tails = worker.serving.len();
        let name = worker.replicated.announced.name.clone();
        self.note_reserved(number, spec);
        self.ready.remove(task);
        if let Some(entry) = self.task_mut(task) {
            entry.phase = TaskPhase::Placed(number);
            entry.run = run;
        }
        self.locality_started(now, number, task, spec);
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let waited_ms = now.since(job.accepted_at).as_millis();
        log::info!(target: "runs", task:% = task, run:% = run, worker:% = name, number:% = number, free_cpu = free.cpu_milli, free_mem = free.mem_mb, report_age_ms, serving_images = tails, routes = self.routes.version, since_accepted_ms:% = waited_ms; "a task is started");
        let spec = job.spec.clone();
        let worker = number;
        let valid_until = now + START_VALIDITY;
        self.orders.push(Order::Start {
            worker,
            task,
            run,
            spec,
            lease_until_ms,
            checkpoint,
            valid_until,
        });
    }
}
