use comfreymill_types::time;

use super::Scheduler;
use super::clock_reading;
use crate::id;
use crate::worker;

/// # Rows of reports that cannot be read
///
/// They name no run or end; the other rows of the report hold. An end that cannot be read may be
/// readable in the next report, so it is asked for once more before the worker may forget it.
impl Scheduler {
    /// Removes from a report the ends that cannot be recorded yet; returns whether the report shows
    /// all runs that the worker has.
    pub(super) fn set_unread_aside(
        &mut self,
        now: time::Monotonic,
        number: id::WorkerNumber,
        report: &mut worker::Report,
    ) -> bool {
        let unix_ms = clock_reading::millis(self.since_1970(now));
        for end in report.ended.extract_if(.., |end| !self.may_exist(end.task)) {
            report.unread.ends.push(end.number);
            report.unread.reason = format!("no job has the task {}", end.task);
        }
        let Some(entry) = self.workers.get_mut(&number) else { return false };
        let announced = &entry.replicated.announced;
        let noted = entry.replicated.noted;
        let worker::Report { ended, unread, .. } = report;
        let is_possible = |number: u64| announced.has_possible_count(number, noted, unix_ms);
        // A number that is too high would have the worker forget all ends to come.
        for end in ended.extract_if(.., |end| !is_possible(end.number)) {
            unread.unnumbered += 1;
            if unread.reason.is_empty() {
                unread.reason = format!("no end has the number {}", end.number);
            }
        }
        let before = unread.ends.len();
        unread.ends.retain(|number| is_possible(*number));
        unread.unnumbered += before - unread.ends.len();
        unread.ends.retain(|number| *number > noted);
        let is_new = |number: &&u64| !entry.unread.ends.contains(number);
        let first_new = unread.ends.iter().filter(is_new).min().copied();
        if let Some(first_new) = first_new {
            ended.retain(|end| end.number < first_new);
        }
        let last = unread.ends.iter().max().copied().unwrap_or_default();
        entry.skippable_end = if first_new.is_none() { last } else { 0 };
        if *unread != entry.unread {
            if !unread.is_empty() {
                log::warn!(target: "workers", worker:% = announced.name, number:% = number, running = unread.running, ends = unread.ends.len(), unnumbered = unread.unnumbered, reason:% = unread.reason; "rows of a worker's report cannot be read");
            }
            entry.unread = unread.clone();
        }
        first_new.is_none() && unread.running == 0
    }

    /// Returns whether a task may be one of its job; nothing is known of the tasks of jobs that are
    /// over.
    fn may_exist(&self, task: id::TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.step.job) else { return true };
        let step = job.spec.steps.get(usize::from(task.step.step));
        step.is_some_and(|step| task.index < step.count)
            && task.step.occurrence < job.spec.occurrences()
    }

    /// Lets the worker forget ends that could not be read twice, once no end before them is left to
    /// record.
    pub(super) fn skip_unread_ends(&mut self, number: id::WorkerNumber) {
        let Some(entry) = self.workers.get_mut(&number) else { return };
        let last = entry.skippable_end;
        if !entry.has_uncommitted_ends && last > entry.skipped_end {
            entry.skipped_end = last;
            log::warn!(target: "workers", worker:% = entry.replicated.announced.name, number:% = number, ends = entry.unread.ends.len(), last; "ends of runs are skipped, since they cannot be read: their tasks run again");
        }
    }
}
