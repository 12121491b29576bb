//! Tasks that crash the workers that start them.
//!
//! Load pattern: a share of the jobs of one class has a task that crashes each worker within
//! milliseconds of its start, along with all other runs there; a crashed worker is back after some
//! seconds. Unbounded restarts bring down the whole fleet.
//!
//! Every crash is counted in the log, for all tasks that were running on the worker, before any of
//! them is started again. A task under which a worker has crashed is started apart from others: on
//! a worker where nothing else was started lately, and on which nothing else is started for a
//! moment, if there is room on such a worker. If a second worker crashes right after it was the
//! last to be started there, this identifies the task. Otherwise the job is given up after
//! `MAX_SUSPECTED` crashes shortly after a start, or `MAX_CRASHES` in all.
//!
//! Workers also crash by themselves, and the tasks that they hit must go on. So a crash says nothing
//! against a run that was started when the next incarnation had begun already, nor against any run
//! when much of the zone or rack crashes at one moment, though crashes right after a start always count
//! towards the number of starts. Where the moment of the crash is known, a run that had begun clearly
//! before is not suspected. Neither is one whose start was not answered, if the worker may have crashed
//! before, unnoticed, or if another run had just begun there.

use std::time::Duration;

use comfreymill_types::time;

use super::run::RunEntry;
use super::worker::WorkerEntry;
use super::{Config, Scheduler};
use crate::id;
use crate::state;

/// Number of crashes shortly after its start after which a task is given up.
const MAX_SUSPECTED: u32 = 3;
/// Number of crashes, however long after its start, after which a task is given up. Crashes that
/// have other causes hit a long task several times.
const MAX_CRASHES: u32 = 4;
/// Time after its start within which a run may have caused a crash, and for which a task under
/// which a worker has crashed is kept apart from other starts.
const SUSPECT_PERIOD: Duration = Duration::from_secs(1);
/// Time after its start within which a run may have caused a crash whose moment is known: a task that
/// crashes its worker does so within milliseconds, and its start takes some time to arrive.
const EXACT_SUSPECT_PERIOD: Duration = Duration::from_millis(250);
/// Least time for which an order waits for its answer; one that fails earlier shows the moment at which
/// the connection was lost.
const MIN_ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// Difference, in milliseconds, by which a clock must at least be behind that of the earlier incarnation
/// to have begun anew.
const MIN_CLOCK_STEP_MS: u64 = 500;
/// Time before the last start on a worker within which no other start may lie for the last one to
/// be identified as the cause of a crash.
const MIN_START_GAP: Duration = Duration::from_millis(100);
/// Time after its start from which a long-running task is not held responsible for a crash.
const LONG_RUNNING_CLEARANCE: Duration = Duration::from_secs(10);
/// Time after its registration for which a worker may be one that keeps crashing by itself.
const NEW_WORKER_PERIOD: Duration = Duration::from_secs(10);
/// Age of a worker's last report up to which the worker is unlikely to have crashed unnoticed.
const FRESH_REPORT: Duration = Duration::from_millis(500);
/// Penalty in the score of a worker that does not suit a start apart from others, in thousandths
/// of a core.
const ISOLATION_PENALTY: i64 = 1_000_000;

/// Run that may have been in progress when its worker crashed.
#[derive(Clone, Copy, Debug)]
pub(super) struct CrashCandidate {
    task: id::TaskId,
    run: id::Run,
    /// Time from its start to the crash; `None` if this leader did not start it.
    age: Option<Duration>,
    /// Whether the run had begun, or may have begun, so shortly before the crash that it may have
    /// caused it.
    is_recent: bool,
    /// Whether the worker is known to have begun the run.
    is_shown: bool,
    /// Whether it is recent, and nothing suggests that the worker had crashed before the start.
    is_suspect: bool,
}

/// # Crashes of workers
impl Scheduler {
    /// Returns the command that counts the crash of a worker for the tasks that were running on it,
    /// and removes the worker; `None` if no task may have caused the crash.
    pub(super) fn crash_command(
        &self,
        now: time::Monotonic,
        number: id::WorkerNumber,
    ) -> Option<state::Command> {
        let entry = self.workers.get(&number)?;
        // The runs on a leaving worker end with it as planned.
        if entry.announcement.leaving_in.is_some() {
            return None;
        }
        let mut candidates = entry.crash_candidates(now);
        candidates.retain(|candidate| self.jobs.contains_key(&candidate.task.step.job));
        if candidates.is_empty() {
            return None;
        }
        if self.has_common_cause(now, entry) {
            return self.explained_crash_command(number, entry, &candidates);
        }
        let last = last_started(&candidates).filter(|_| !entry.is_new(now));
        let is_given_up = |candidate: &&CrashCandidate| {
            let record = self.crash_record(candidate.task);
            let is_identified = last == Some(candidate.task) && record.suspected > 0;
            let is_repeated = candidate.is_suspect && record.suspected + 1 >= MAX_SUSPECTED;
            let is_bound_reached = candidate.is_recent && self.is_last_crash(candidate.task);
            let is_worn_out = record.crashes + 1 >= MAX_CRASHES;
            is_identified || is_repeated || is_worn_out || is_bound_reached
        };
        let given_up = candidates.iter().filter(is_given_up).map(|candidate| candidate.task);
        let given_up = given_up.collect();
        let runs = candidates.iter().map(|candidate| {
            let CrashCandidate { task, run, .. } = *candidate;
            state::CrashedRun { task, run, is_suspect: candidate.is_suspect }
        });
        Some(state::Command::NoteCrash { worker: number, runs: runs.collect(), given_up })
    }

    /// Returns the command that counts a crash which others explain for the tasks that had just been
    /// started on the worker; `None` if there are none.
    fn explained_crash_command(
        &self,
        number: id::WorkerNumber,
        entry: &WorkerEntry,
        candidates: &[CrashCandidate],
    ) -> Option<state::Command> {
        let suspects = candidates.iter().filter(|candidate| candidate.is_recent);
        let tasks: Vec<id::TaskId> = suspects.map(|candidate| candidate.task).collect();
        log::info!(target: "workers", worker:% = entry.replicated.announced.name, number:% = number, runs = candidates.len(), suspects = tasks.len(); "a worker has crashed together with others of its zone or rack");
        if tasks.is_empty() {
            return None;
        }
        let runs = tasks.iter().copied().map(state::CrashedRun::explained).collect();
        let given_up = tasks.into_iter().filter(|task| self.is_last_crash(*task)).collect();
        Some(state::Command::NoteCrash { worker: number, runs, given_up })
    }

    /// Returns whether one more crash right after a start, explained or not, is the last one that a task
    /// is allowed.
    fn is_last_crash(&self, task: id::TaskId) -> bool {
        self.task(task)
            .is_some_and(|entry| entry.crashes.crashes + entry.explained_crashes + 1 >= MAX_CRASHES)
    }

    /// Handles a crash that was committed to the log: the tasks that were running on the worker
    /// become ready again, except those of jobs that are given up.
    pub fn crash_noted(
        &mut self,
        now: time::Monotonic,
        number: id::WorkerNumber,
        runs: &[state::CrashedRun],
        given_up: &[id::JobKey],
        state: &state::State,
    ) {
        for crashed in runs {
            if crashed.is_explained() {
                log::info!(target: "runs", task:% = crashed.task, worker:% = number; "a worker has crashed with others right after a start");
            } else {
                log::info!(target: "runs", task:% = crashed.task, run:% = crashed.run, worker:% = number, is_suspect = crashed.is_suspect; "a worker has crashed under a run");
            }
            self.update_crashes(now, crashed, state);
        }
        for job in given_up {
            if let Some(reason) = state.get_given_up(*job) {
                log::warn!(target: "jobs", job:% = job, task:% = reason.task, crashes = reason.crashes; "a job is given up: workers keep crashing under one of its tasks");
            }
            self.job_over(now, *job);
        }
        self.remember_crash(now, number);
        self.pass_on_unanswered(now, number);
        self.release_all(now, number);
        if let Some(entry) = self.workers.remove(&number) {
            self.former_workers.record(&entry.replicated.announced.name);
        }
    }

    /// Returns the crashes of workers under a task.
    fn crash_record(&self, task: id::TaskId) -> state::CrashRecord {
        self.task(task).map(|entry| entry.crashes).unwrap_or_default()
    }
}

/// Returns the task that was started last before a crash, if the worker had begun it shortly before, and
/// apart from all others.
fn last_started(candidates: &[CrashCandidate]) -> Option<id::TaskId> {
    let recent = candidates.iter().filter(|candidate| candidate.is_recent);
    let last = recent.min_by_key(|candidate| candidate.age)?;
    let is_close = |age: Duration| Some(age) <= last.age.map(|age| age + MIN_START_GAP);
    let mut others = candidates.iter().filter(|candidate| candidate.task != last.task);
    let is_apart = !others.any(|candidate| candidate.age.is_some_and(is_close));
    (is_apart && last.is_suspect).then_some(last.task)
}

impl WorkerEntry {
    /// Returns the runs that may have caused a crash of the worker: all but long-running tasks that
    /// had been running for long.
    fn crash_candidates(&self, now: time::Monotonic) -> Vec<CrashCandidate> {
        let crashed_at = self.silent_since.unwrap_or(now);
        let suspect_period =
            if self.is_silence_exact { EXACT_SUSPECT_PERIOD } else { SUSPECT_PERIOD };
        let of_run = |task: &id::TaskId, run: &RunEntry| {
            let is_later = |began_by| run.started_at.is_some_and(|started| started > began_by);
            if self.next_began_by.is_some_and(is_later) {
                return None;
            }
            let age = run.started_at.map(|started_at| crashed_at.since(started_at));
            let is_cleared =
                run.is_long_running && age.is_none_or(|age| age > LONG_RUNNING_CLEARANCE);
            // A start that was not answered may have arrived at any moment.
            let (begun_age, period) = match run.shown_at() {
                Some(shown_at) => (Some(crashed_at.since(shown_at)), suspect_period),
                None => (age, SUSPECT_PERIOD),
            };
            let is_recent = begun_age.is_some_and(|age| age <= period);
            let is_suspect = is_recent && self.was_alive_at_start(run);
            let is_shown = run.shown_at().is_some();
            let run = run.run;
            let candidate =
                CrashCandidate { task: *task, run, age, is_recent, is_shown, is_suspect };
            (!is_cleared).then_some(candidate)
        };
        let runs = self.runs.iter().filter_map(|(task, run)| of_run(task, run));
        let mut candidates: Vec<CrashCandidate> = runs.chain(self.lapsed.iter().copied()).collect();
        // A run that had just begun explains the crash better than one that may not have begun.
        if candidates.iter().any(|candidate| candidate.is_suspect && candidate.is_shown) {
            candidates.iter_mut().for_each(|candidate| candidate.is_suspect &= candidate.is_shown);
        }
        candidates
    }

    /// Returns whether the worker is unlikely to have crashed before the start of a run. One that has
    /// other runs reports often; one without may be silent for seconds.
    fn was_alive_at_start(&self, run: &RunEntry) -> bool {
        let heard_before = run.started_at.map(|started_at| started_at.since(self.reported_at));
        run.shown_at().is_some()
            || self.is_lost_at_crash()
            || self.runs.len() == 1
            || heard_before.is_some_and(|age| age <= FRESH_REPORT)
    }

    /// Records that the worker has not answered an order that was sent at `sent_at`.
    pub(super) fn note_silence(&mut self, now: time::Monotonic, sent_at: time::Monotonic) {
        if self.silent_since.is_none() {
            self.silent_since = Some(now);
            self.is_silence_exact = now.since(sent_at) < MIN_ANSWER_TIMEOUT;
        }
    }

    /// Records a reading of the clock of the next incarnation, which was received at `now`. It shows
    /// when the incarnation began, unless it goes on from the clock of this one.
    pub(super) fn note_next_life(&mut self, cfg: &Config, now: time::Monotonic, clock_ms: u64) {
        let known_ms = self.clock.map_or(0, |clock| clock.reading.min_at(cfg, now));
        let began_by = cfg.began_by(now, clock_ms);
        if clock_ms.saturating_add(MIN_CLOCK_STEP_MS) > known_ms || began_by < self.reported_at {
            return;
        }
        let earliest = self.next_began_by.map_or(began_by, |known| known.min(began_by));
        self.next_began_by = Some(earliest);
    }

    /// Keeps the runs that end with the worker's lease, in case it turns out that the worker has
    /// crashed.
    pub(super) fn keep_lapsed(&mut self, now: time::Monotonic) {
        self.lapsed = self.crash_candidates(now);
    }

    /// Returns whether the worker was registered so recently that it may be one that keeps crashing
    /// by itself.
    fn is_new(&self, now: time::Monotonic) -> bool {
        self.registered_at.is_some_and(|at| now.since(at) < NEW_WORKER_PERIOD)
    }

    /// Returns whether another task under which a worker has crashed was just started here.
    pub(super) fn is_kept_apart(&self, now: time::Monotonic) -> bool {
        now < self.apart_until
    }

    /// Returns the penalty in the score of the worker for a task, so that tasks under which a worker
    /// has crashed are started apart from others.
    pub(super) fn isolation_penalty(&self, now: time::Monotonic, has_crashes: bool) -> i64 {
        let is_apart = self.is_kept_apart(now);
        if !has_crashes {
            return if is_apart { ISOLATION_PENALTY } else { 0 };
        }
        let has_started_lately = self.started_at.is_some_and(|at| now.since(at) < SUSPECT_PERIOD);
        // One that was heard of long ago may have crashed together with the other.
        let is_unheard = now.since(self.reported_at) > FRESH_REPORT;
        let reasons = [is_apart || has_started_lately, self.is_new(now), is_unheard];
        reasons.into_iter().filter(|applies| *applies).count() as i64 * ISOLATION_PENALTY
    }

    /// Records the start of a run; one of a task under which a worker has crashed is kept apart.
    pub(super) fn record_start(&mut self, now: time::Monotonic, has_crashes: bool) {
        self.started_at = Some(now);
        if has_crashes {
            self.apart_until = now + SUSPECT_PERIOD;
        }
    }
}
