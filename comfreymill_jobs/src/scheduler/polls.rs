use std::time::Duration;

use comfreymill_types::time;

use super::clock_reading::ClockReading;
use super::run::{self, RunEntry, RunPhase};
use super::task::TaskPhase;
use super::worker::WorkerEntry;
use super::{Order, PollAnswer, Scheduler};
use crate::id;
use crate::state;
use crate::worker;

/// Delay before a worker that did not answer is polled again.
const UNRESPONSIVE_POLL_DELAY: Duration = Duration::from_millis(250);
/// Delay before a worker is polled again that may not forget its noted ends yet, since it has runs
/// that are not confirmed.
const UNCONFIRMED_POLL_DELAY: Duration = Duration::from_millis(50);
/// Time between polls of a worker without runs.
const IDLE_POLL_PERIOD: Duration = Duration::from_secs(5);
/// Maximum number of workers polled in one tick; a new leader polls all workers, whose reports would
/// otherwise arrive at once.
const MAX_POLLS_PER_TICK: usize = 64;

/// # Polls of workers
impl Scheduler {
    /// Polls a worker unless a poll is in flight or ends that it reported are being recorded.
    pub(super) fn poll(&mut self, now: time::Monotonic, number: id::WorkerNumber) {
        let wait = self.poll_wait(number);
        let cfg = self.cfg;
        let Some(entry) = self.workers.get_mut(&number) else { return };
        if entry.poll_sent_at.is_some() || entry.has_uncommitted_ends || entry.is_gone {
            return;
        }
        // A worker that does not answer may still receive the poll, which must not extend its
        // lease.
        let is_renewed = !entry.runs.is_empty() && !entry.is_unresponsive;
        let lease_until_ms = if is_renewed { entry.grant_lease(&cfg, now) } else { None };
        entry.poll_sent_at = Some(now);
        let noted = entry.forgettable_end();
        self.orders.push(Order::Poll { worker: number, noted, lease_until_ms, wait });
    }

    /// Returns the time for which a worker may delay the answer to a poll until a run ends.
    fn poll_wait(&self, number: id::WorkerNumber) -> Duration {
        let Some(entry) = self.workers.get(&number) else { return Duration::ZERO };
        // A run that may never have started has no end to wait for.
        let has_uncertain_start = entry.runs.values().any(|run| {
            run.is_start_uncertain && matches!(run.phase, RunPhase::StopAccepted { .. })
        });
        // What a worker has to say that did not answer last is waited for.
        let is_unheard = !entry.has_answered || entry.is_unresponsive;
        if is_unheard || has_uncertain_start || entry.runs.is_empty() {
            return Duration::ZERO;
        }
        if entry.has_fillers_beside_serving() {
            self.cfg.get_mixed_poll_period()
        } else {
            self.cfg.get_max_poll_wait()
        }
    }

    /// Polls the workers that are due.
    pub(super) fn poll_due(&mut self, now: time::Monotonic) {
        self.steps += self.workers.refresh(now);
        for number in self.workers.due_polls(now, MAX_POLLS_PER_TICK) {
            self.steps += 1;
            if !self.is_put_off(now, number) {
                self.poll(now, number);
            }
        }
    }

    /// Returns whether the poll of a worker is put off, and sets when it is due again: a worker
    /// without runs has nothing that anyone waits for, unless it gets no tasks before it answers.
    fn is_put_off(&mut self, now: time::Monotonic, number: id::WorkerNumber) -> bool {
        let Some(entry) = self.workers.get_mut(&number) else { return false };
        let is_idle = entry.has_answered && !entry.is_unresponsive && entry.runs.is_empty();
        let is_put_off = self.is_deferring && is_idle && entry.announcement.leaving_in.is_none();
        if is_put_off {
            entry.next_poll_at = now + IDLE_POLL_PERIOD;
        }
        is_put_off
    }

    pub(super) fn poll_answered(
        &mut self,
        now: time::Monotonic,
        number: id::WorkerNumber,
        asked_at: time::Monotonic,
        answer: PollAnswer,
    ) {
        let Some(entry) = self.workers.get_mut(&number) else { return };
        entry.poll_sent_at = None;
        if matches!(answer, PollAnswer::NoAnswer) {
            entry.order_unanswered(asked_at);
            entry.note_silence(now, asked_at);
        }
        match answer {
            PollAnswer::Fenced => self.fenced(now, number),
            PollAnswer::NoAnswer => self.poll_failed(now, number, "no answer in time"),
            PollAnswer::Unreachable => {
                if entry.has_departed || now >= entry.lease_over_at {
                    self.worker_gone(now, number, "it refuses connections and its runs have ended");
                } else {
                    self.poll_failed(now, number, "it refuses connections");
                }
            }
            PollAnswer::Report(report) => self.report_received(now, number, asked_at, report),
        }
    }

    pub(super) fn poll_failed(
        &mut self,
        now: time::Monotonic,
        number: id::WorkerNumber,
        reason: &str,
    ) {
        let Some(entry) = self.workers.get_mut(&number) else { return };
        if !entry.is_unresponsive {
            log::info!(target: "workers", worker:% = entry.replicated.announced.name, number:% = number, reason; "a worker does not answer");
        }
        entry.is_unresponsive = true;
        entry.silent_since.get_or_insert(now);
        entry.next_poll_at = now + UNRESPONSIVE_POLL_DELAY;
        if entry.is_given_up(now) {
            self.worker_gone(now, number, "it has never answered");
        }
    }

    fn report_received(
        &mut self,
        now: time::Monotonic,
        number: id::WorkerNumber,
        asked_at: time::Monotonic,
        mut report: worker::Report,
    ) {
        let Some(entry) = self.workers.get_mut(&number) else { return };
        if entry.is_of_other_incarnation(&report) {
            if let Some(clock_ms) = report.clock_ms {
                entry.note_next_life(&self.cfg, now, clock_ms);
            }
            self.other_incarnation_noticed(now, number, "another incarnation answers");
            return;
        }
        entry.has_successor = false;
        entry.confirm_runs(asked_at, &report);
        if let Some(clock_ms) = report.clock_ms {
            self.read_clock(number, ClockReading { clock_ms, asked_at, received_at: now });
        }
        let Some(entry) = self.workers.get_mut(&number) else { return };
        if !entry.has_answered {
            log::debug!(target: "workers", worker:% = entry.replicated.announced.name, number:% = number, running = report.running.len(), ended = report.ended.len(); "a worker answers this leader");
        } else if entry.is_unresponsive {
            log::info!(target: "workers", worker:% = entry.replicated.announced.name, number:% = number, running = report.running.len(), ended = report.ended.len(); "a worker answers");
        }
        if !entry.has_answered || entry.is_unresponsive {
            self.needs_placement = true;
        }
        entry.reported_at = now;
        let is_first = !entry.has_answered;
        entry.has_answered = true;
        entry.is_unresponsive = false;
        entry.silent_since = None;
        entry.lapsed.clear();
        if is_first {
            entry.answered_after_restart(&self.cfg, now);
            self.replace_earlier(now, number, asked_at, &report);
        }
        let is_full = report.is_full();
        let is_complete = self.set_unread_aside(now, number, &mut report) && !is_full;
        self.steps += (report.running.len() + report.ended.len()) as u64;
        for status in &report.running {
            self.update_run(now, number, asked_at, status);
        }
        if is_complete {
            self.release_missing(now, number, asked_at, &report);
        }
        let has_noted_ends = self.has_noted_ends(number, &report);
        self.record_ends(number, report.ended);
        self.skip_unread_ends(number);
        // Runs that this leader did not start may have been adopted since the announcement.
        let is_leaving = |worker: &WorkerEntry| worker.announcement.leaving_in.is_some();
        if self.workers.get(&number).is_some_and(is_leaving) {
            self.evacuate(now, number);
        }
        self.pace(now, number);
        let Some(entry) = self.workers.get_mut(&number) else { return };
        // The worker need not wait for an end while it has one that it was not told to forget.
        entry.next_poll_at = if !entry.unread.is_empty() {
            now + UNRESPONSIVE_POLL_DELAY
        } else if has_noted_ends && entry.has_unconfirmed_runs() {
            now + UNCONFIRMED_POLL_DELAY
        } else if entry.runs.is_empty() && !has_noted_ends {
            now + IDLE_POLL_PERIOD
        } else {
            now
        };
        if now >= entry.next_poll_at {
            self.poll(now, number);
        }
    }

    /// Returns whether a report shows ends that are in the log.
    fn has_noted_ends(&self, number: id::WorkerNumber, report: &worker::Report) -> bool {
        let noted = self.workers.get(&number).map_or(0, |entry| entry.replicated.noted);
        report.ended.iter().any(|end| end.number <= noted)
    }

    fn record_ends(&mut self, number: id::WorkerNumber, ended: Vec<worker::End>) {
        let Some(entry) = self.workers.get_mut(&number) else { return };
        let noted = entry.replicated.noted;
        let mut ends: Vec<worker::End> =
            ended.into_iter().filter(|end| end.number > noted).collect();
        if ends.is_empty() {
            return;
        }
        ends.sort_by_key(|end| end.number);
        entry.has_uncommitted_ends = true;
        self.commands.push(state::Command::NoteEnds { worker: number, ends });
    }

    fn update_run(
        &mut self,
        now: time::Monotonic,
        number: id::WorkerNumber,
        asked_at: time::Monotonic,
        status: &worker::RunStatus,
    ) {
        let Some(entry) = self.workers.get_mut(&number) else { return };
        if let Some(run) = entry.runs.get_mut(&status.task).filter(|run| run.run == status.run) {
            if run.percent != status.percent || status.percent >= 100 {
                run.progressed_at = now;
            }
            run.percent = status.percent;
            run.load = status.load;
            if !status.checkpoint.is_empty() {
                run.checkpoint.clone_from(&status.checkpoint);
            }
            if run.phase == RunPhase::Starting {
                run.phase = RunPhase::Running { since: now };
                self.mark_started(status.task.step.job);
            }
            self.check_stopped(now, number, status.task, asked_at);
            return;
        }
        self.adopt(now, number, status);
    }

    /// Adopts a reported run that this leader did not start, or stops it if its task is not
    /// available.
    fn adopt(
        &mut self,
        now: time::Monotonic,
        number: id::WorkerNumber,
        status: &worker::RunStatus,
    ) {
        let spec = self.step_spec(status.task.step).cloned();
        let task = self.task_mut(status.task);
        let is_free = task.is_some_and(|task| {
            let is_free = matches!(task.phase, TaskPhase::Unreconciled);
            if is_free {
                task.phase = TaskPhase::Placed(number);
                task.run = task.run.max(status.run);
            }
            is_free
        });
        let is_occupied =
            self.workers.get(&number).is_some_and(|worker| worker.runs.contains_key(&status.task));
        if is_occupied {
            // The start of another run of the task was carried out late; the outcome of the run
            // that this leader tracks is still being determined.
            log::warn!(target: "runs", task:% = status.task, run:% = status.run, worker:% = number; "a second run of a task is reported and stopped");
            self.orders.push(Order::Stop { worker: number, task: status.task, run: status.run });
            return;
        }
        let is_known = spec.is_some();
        let spec = spec.unwrap_or_default();
        let image = self.interference.intern(spec.image.as_deref());
        let phase = RunPhase::Running { since: now };
        let mut run = RunEntry::new(status.run, phase, &spec, image, now);
        run.is_confirmed = true;
        run.pace = run::UNKNOWN_PACE;
        run.checkpoint.clone_from(&status.checkpoint);
        run.load = status.load;
        run.percent = status.percent;
        self.adopted += u64::from(is_free);
        log::debug!(target: "runs", task:% = status.task, run:% = status.run, worker:% = number, is_wanted = is_free; "a run that this leader did not start was reported");
        let Some(entry) = self.workers.get_mut(&number) else { return };
        if !is_known {
            // The needs of a task whose job is over are not known to a new leader.
            run.reserved = entry.free();
        }
        entry.add(status.task, run);
        if is_free {
            self.mark_started(status.task.step.job);
        } else {
            self.stop(now, number, status.task);
        }
    }

    /// Releases the runs that the worker would have reported if it had them.
    fn release_missing(
        &mut self,
        now: time::Monotonic,
        number: id::WorkerNumber,
        asked_at: time::Monotonic,
        report: &worker::Report,
    ) {
        let Some(entry) = self.workers.get(&number) else { return };
        let missing = entry.runs.iter().filter(|(_, run)| run.must_be_reported(asked_at));
        let missing = missing.filter(|(task, run)| !report.shows(**task, run.run));
        let missing: Vec<id::TaskId> = missing.map(|(task, _)| *task).collect();
        for task in missing {
            self.release(now, number, task);
        }
    }
}
