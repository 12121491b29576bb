use std::time::Duration;

use comfreymill_types::time;

use super::durations::Expected;
use super::forecast::{Forecast, Opening};
use crate::id;
use crate::job;
use crate::scheduler::Scheduler;
use crate::scheduler::run::RunEntry;
use crate::scheduler::worker::WorkerEntry;
use crate::worker;

/// Time until a run that is being stopped has ended.
const STOP_TIME: Duration = Duration::from_millis(300);
/// Shortest remaining time of a run that is overdue.
const MIN_REMAINING: Duration = Duration::from_millis(20);

/// # What is known of durations and of places that become free
impl Scheduler {
    /// Learns from the end of a run how long tasks of its kind take.
    pub(in crate::scheduler) fn observe_duration(
        &mut self,
        now: time::Monotonic,
        number: id::WorkerNumber,
        end: &worker::End,
    ) {
        let Some(factor) = self.locality.factor else { return };
        if end.kind != worker::EndKind::Done {
            return;
        }
        let Some(entry) = self.workers.get(&number) else { return };
        let Some(run) = entry.runs.get(&end.task).filter(|run| run.run == end.run) else { return };
        let Some(started_at) = run.started_at else { return };
        let Some(job) = self.jobs.get(&end.task.step.job) else { return };
        let Some(spec) = job.spec.steps.get(usize::from(end.task.step.step)) else { return };
        // A task that resumed from a checkpoint or shared its processors does not tell how long
        // others take, nor does one that depended on where the rest of its step was.
        let is_resumed = self.has_checkpoint(end.task);
        if is_resumed || run.kind == job::StepKind::Filler || spec.is_rack_sensitive {
            return;
        }
        let actual = now.since(started_at);
        let actual = if is_away(entry, spec) { factor.near(actual) } else { actual };
        let kind = spec.image.as_ref().unwrap_or(&job.queue);
        let estimate = Duration::from_millis(u64::from(spec.estimate_ms));
        self.locality.durations.observe(kind, estimate, actual);
    }

    /// Returns how long a task of the step is expected to take near its data.
    pub(super) fn expected_duration(&self, step: id::StepId, spec: &job::StepSpec) -> Expected {
        let estimate = Duration::from_millis(u64::from(spec.estimate_ms));
        let Some(job) = self.jobs.get(&step.job) else { return Expected::default() };
        let kind = spec.image.as_ref().unwrap_or(&job.queue);
        self.locality.durations.expected(kind, estimate)
    }

    /// Returns when places on a rack become free.
    pub(super) fn forecast(&self, now: time::Monotonic, rack: &str) -> Forecast {
        let mut forecast = Forecast::default();
        for number in self.locality.racks.workers(rack) {
            let Some(entry) = self.workers.get(number) else { continue };
            if !entry.is_usable(now) || entry.is_held || entry.clock.is_none() {
                continue;
            }
            let ends = entry.runs.iter().filter_map(|(task, run)| {
                Some((self.expected_end(now, entry, *task, run)?, run.reserved))
            });
            forecast.add_worker(*number, entry.free(), ends);
        }
        forecast
    }

    /// Returns when a run is expected to end; `None` if it keeps its place.
    fn expected_end(
        &self,
        now: time::Monotonic,
        entry: &WorkerEntry,
        task: id::TaskId,
        run: &RunEntry,
    ) -> Option<Opening> {
        if !run.is_active() {
            return Some(Opening { expected: STOP_TIME, latest: STOP_TIME * 2 });
        }
        if run.is_long_running || run.kind == job::StepKind::Filler {
            return None;
        }
        let spec = self.step_spec(task.step)?;
        let Expected { mean, spread } = self.expected_duration(task.step, spec);
        let factor = self.locality.factor.filter(|_| is_away(entry, spec));
        let mean = factor.map_or(mean, |factor| factor.remote(mean));
        let elapsed = match run.started_at {
            Some(started_at) => now.since(started_at),
            None => mean * run.percent.min(100) / 100,
        };
        // A run that has not ended near its average ends within the deviation from it; the longer it
        // is overdue, the longer it is expected to take.
        let overdue = elapsed.saturating_sub(mean);
        let late = if overdue.is_zero() { MIN_REMAINING } else { spread.max(overdue / 2) };
        let remaining = mean.saturating_sub(elapsed).max(late);
        Some(Opening { expected: remaining, latest: remaining + spread })
    }

    fn has_checkpoint(&self, task: id::TaskId) -> bool {
        let job = self.jobs.get(&task.step.job);
        let occurrence = job.and_then(|job| job.occurrences.get(&task.step.occurrence));
        let step = occurrence.and_then(|entry| entry.steps.get(usize::from(task.step.step)));
        let entry = step.and_then(|step| step.tasks.get(usize::from(task.index)));
        entry.is_some_and(|entry| !entry.checkpoint.is_empty())
    }
}

/// Returns whether the step's data are on another rack.
pub(super) fn is_away(entry: &WorkerEntry, spec: &job::StepSpec) -> bool {
    spec.data_rack.as_ref().is_some_and(|rack| !entry.announcement.labels.contains(rack))
}
