use std::time::Duration;

use comfreymill_types::time;

use super::Scheduler;
use super::task::TaskPhase;
use crate::id;
use crate::state;
use crate::worker;

/// Number of consecutive failed runs after which nothing is placed on a worker for a while.
const FAILURES_BEFORE_BACKOFF: u32 = 3;
/// Time for which nothing is placed on a worker whose runs fail.
const FAILURE_BACKOFF: Duration = Duration::from_secs(4);

/// # Ends of runs
impl Scheduler {
    /// Handles ends of runs that were committed to the log.
    pub fn ends_noted(
        &mut self,
        now: time::Monotonic,
        number: id::WorkerNumber,
        ends: &[worker::End],
        state: &state::State,
    ) {
        if let Some(entry) = self.workers.get_mut(&number) {
            entry.has_uncommitted_ends = false;
            entry.next_poll_at = now;
            if let Some(replicated) = state.get_workers().get(&number) {
                entry.replicated.noted = replicated.noted;
            }
        }
        for end in ends {
            log::info!(target: "runs", task:% = end.task, run:% = end.run, worker:% = number, end:? = end.kind; "a run has ended");
            self.end_noted(now, number, end, state);
        }
        if self.workers.get(&number).is_some_and(|worker| worker.is_gone) {
            self.drop_worker(now, number);
        } else {
            self.poll(now, number);
        }
    }

    fn end_noted(
        &mut self,
        now: time::Monotonic,
        number: id::WorkerNumber,
        end: &worker::End,
        state: &state::State,
    ) {
        self.count_failures(now, number, end);
        self.observe_duration(now, number, end);
        self.mark_started(end.task.step.job);
        let task = end.task;
        let key = task.step.job;
        let job = state.get_jobs().get(&key);
        let is_over = job.is_none_or(state::Job::is_over);
        let is_current = self.is_current(number, end);
        if !end.checkpoint.is_empty() {
            self.take_checkpoint(number, end, is_current);
        }
        if is_over {
            if is_current {
                self.remove_run(number, task);
            }
            self.job_over(now, key);
            return;
        }
        if is_current {
            self.release(now, number, task);
        }
        let recorded = job.and_then(|job| job.occurrences.get(&task.step.occurrence));
        let is_finished = job.is_some_and(|job| job.finished.contains(&task.step.occurrence));
        let is_done = is_finished
            || recorded.is_some_and(|occurrence| {
                occurrence.steps[usize::from(task.step.step)].is_done(task.index)
            });
        if is_done {
            self.task_done(now, task, recorded, is_finished);
        }
    }

    /// Records the checkpoint that a run has left, which is later than those of its reports.
    fn take_checkpoint(&mut self, number: id::WorkerNumber, end: &worker::End, is_current: bool) {
        if let Some(entry) = self.task_mut(end.task) {
            entry.checkpoint.clone_from(&end.checkpoint);
        }
        let worker = self.workers.get_mut(&number).filter(|_| is_current);
        if let Some(run) = worker.and_then(|worker| worker.runs.get_mut(&end.task)) {
            run.checkpoint.clone_from(&end.checkpoint);
        }
    }

    fn is_current(&self, number: id::WorkerNumber, end: &worker::End) -> bool {
        let run = self.workers.get(&number).and_then(|worker| worker.runs.get(&end.task));
        run.is_some_and(|run| run.run == end.run)
    }

    /// Marks the step's finished tasks as done, stops their remaining runs, and unblocks later
    /// steps.
    fn task_done(
        &mut self,
        now: time::Monotonic,
        task: id::TaskId,
        recorded: Option<&state::Occurrence>,
        is_finished: bool,
    ) {
        let id::StepId { job, occurrence: number, step } = task.step;
        let Some(entry) = self.jobs.get_mut(&job) else { return };
        let Some(occurrence) = entry.occurrences.get_mut(&number) else { return };
        let Some(of_step) = occurrence.steps.get_mut(usize::from(step)) else { return };
        let mut superfluous = Vec::new();
        let mut waiting = Vec::new();
        for (index, entry) in of_step.tasks.iter_mut().enumerate() {
            let index = u16::try_from(index).unwrap_or(u16::MAX);
            let recorded = recorded.map(|occurrence| &occurrence.steps[usize::from(step)]);
            let is_done = is_finished || recorded.is_some_and(|step| step.is_done(index));
            if !is_done || entry.phase == TaskPhase::Done {
                continue;
            }
            match entry.phase {
                TaskPhase::Placed(worker) => superfluous.push((worker, task.step.task(index))),
                TaskPhase::Ready => waiting.push(task.step.task(index)),
                _ => {}
            }
            entry.phase = TaskPhase::Done;
            of_step.open = of_step.open.saturating_sub(1);
        }
        let is_step_over = of_step.open == 0;
        if is_finished {
            entry.occurrences.remove(&number);
        }
        for task in waiting {
            self.ready.remove(task);
        }
        for (worker, task) in superfluous {
            self.stop(now, worker, task);
        }
        if is_step_over && !is_finished {
            self.unblock(now, job, number);
        }
    }

    /// Removes a run from its worker; its task becomes ready again if it was placed there.
    pub(super) fn release(
        &mut self,
        now: time::Monotonic,
        number: id::WorkerNumber,
        task: id::TaskId,
    ) {
        let Some(run) = self.remove_run(number, task) else { return };
        let Some(entry) = self.task_mut(task) else { return };
        if entry.phase != TaskPhase::Placed(number) {
            return;
        }
        if !run.checkpoint.is_empty() {
            entry.checkpoint = run.checkpoint;
        }
        self.make_ready(now, task);
    }

    fn remove_run(
        &mut self,
        number: id::WorkerNumber,
        task: id::TaskId,
    ) -> Option<super::run::RunEntry> {
        self.needs_placement = true;
        self.workers.get_mut(&number)?.remove(task)
    }

    /// Counts consecutive failed runs of a worker, and backs off from it after too many.
    fn count_failures(
        &mut self,
        now: time::Monotonic,
        number: id::WorkerNumber,
        end: &worker::End,
    ) {
        let Some(entry) = self.workers.get_mut(&number) else { return };
        match end.kind {
            worker::EndKind::Done => entry.failures = 0,
            worker::EndKind::Failed => entry.failures += 1,
            _ => {}
        }
        if entry.failures >= FAILURES_BEFORE_BACKOFF {
            log::warn!(target: "workers", worker:% = entry.replicated.announced.name, number:% = number, failures = entry.failures; "runs keep failing on a worker: it gets no tasks for a while");
            entry.backoff_until = now + FAILURE_BACKOFF;
            entry.failures = FAILURES_BEFORE_BACKOFF - 1;
        }
    }
}
