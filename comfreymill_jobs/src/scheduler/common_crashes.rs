//! Crashes that a cause in common explains.
//!
//! Load pattern: the workers of a zone or rack lose power together, again and again, and the tasks that
//! they ran must go on. Many tasks at once that crash their workers look alike. So such a crash is no
//! reason to suspect a task, but it counts for the tasks that had just been started: the number of
//! starts has a bound, whatever the cause. A task that it hits once more waits until a worker is calm,
//! where a crash shows whether the task causes it. The waiting also ends the crashes that the tasks
//! themselves explain each other.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use comfreymill_types::time;

use super::Scheduler;
use super::worker::WorkerEntry;
use crate::id;
use crate::job;
use crate::state;

/// Time for which a worker's crash is remembered after it was noted.
const CRASH_MEMORY: Duration = Duration::from_secs(3);
/// Time that may pass until the loss of a connection is noticed.
const NOTICE_DELAY: Duration = Duration::from_millis(250);
/// Least number of workers of a zone or rack that crash together for a cause that they share.
const MIN_COMMON_CRASHES: usize = 4;
/// Number of explained crashes after which a task waits for a calm worker.
const MAX_HASTY_CRASHES: u32 = 2;
/// Maximum time since its last explained crash for which a task waits for a calm worker.
const MAX_CALM_WAIT: Duration = Duration::from_secs(10);

/// Period in which a worker crashed, or was lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct CrashPeriod {
    from: time::Monotonic,
    to: time::Monotonic,
}

/// Crash of a worker whose incarnation was removed.
#[derive(Clone, Debug)]
pub(super) struct RecentCrash {
    zone: String,
    labels: Vec<String>,
    period: CrashPeriod,
    noted_at: time::Monotonic,
}

/// Number of workers of a zone or rack, and of those that crashed or were lost in a period.
#[derive(Clone, Copy, Debug, Default)]
struct Outage {
    all: usize,
    down: usize,
}

/// Outages of zones and racks.
#[derive(Debug, Default)]
pub(super) struct Outages<'a> {
    zones: BTreeMap<&'a str, Outage>,
    racks: BTreeMap<&'a [String], Outage>,
}

/// # Crashes that a cause in common explains
impl Scheduler {
    /// Returns whether much of the worker's zone or rack may have crashed at the same moment.
    pub(super) fn has_common_cause(&self, now: time::Monotonic, crashed: &WorkerEntry) -> bool {
        self.outages(now, crashed.crash_period(now)).include(crashed)
    }

    /// Counts the workers that may have crashed, or may have been lost, at one moment of a period.
    fn outages(&self, now: time::Monotonic, period: CrashPeriod) -> Outages<'_> {
        let mut outages = Outages::default();
        for entry in self.workers.values() {
            let is_down = entry.is_down() && entry.crash_period(now).overlaps(period);
            let announcement = &entry.announcement;
            outages.of(&announcement.zone, &announcement.labels, |outage| {
                outage.all += 1;
                outage.down += usize::from(is_down);
            });
        }
        for crash in self.recent_crashes.iter().filter(|crash| crash.period.overlaps(period)) {
            outages.of(&crash.zone, &crash.labels, |outage| outage.down += 1);
        }
        outages
    }

    /// Remembers for a while that a worker crashed.
    pub(super) fn remember_crash(&mut self, now: time::Monotonic, number: id::WorkerNumber) {
        let is_kept = |crash: &RecentCrash| now.since(crash.noted_at) < CRASH_MEMORY;
        while self.recent_crashes.front().is_some_and(|crash| !is_kept(crash)) {
            self.recent_crashes.pop_front();
        }
        let Some(entry) = self.workers.get(&number) else { return };
        if entry.announcement.leaving_in.is_some() {
            return;
        }
        let zone = entry.announcement.zone.clone();
        let labels = entry.announcement.labels.clone();
        let period = entry.crash_period(now);
        self.recent_crashes.push_back(RecentCrash { zone, labels, period, noted_at: now });
    }

    /// Returns whether a task waits for a calm worker, since crashes of its workers were explained by
    /// others. One of a gang does not, since the others start without it, and neither does one that
    /// lasts, whose caller counts the time without it.
    pub(super) fn waits_for_calm(
        &self,
        now: time::Monotonic,
        task: id::TaskId,
        spec: &job::StepSpec,
    ) -> bool {
        if spec.is_gang || spec.is_long_running {
            return false;
        }
        self.task(task).is_some_and(|entry| {
            entry.explained_crashes >= MAX_HASTY_CRASHES
                && now.since(entry.explained_at) < MAX_CALM_WAIT
        })
    }

    /// Returns the workers on which a crash would show whether the task that was just started there
    /// causes it: little of their zones and racks is down, and no other such task was just started.
    pub(super) fn calm_workers(&self, now: time::Monotonic) -> BTreeSet<id::WorkerNumber> {
        let lately = CrashPeriod { from: earlier(now, CRASH_MEMORY), to: now };
        let outages = self.outages(now, lately);
        let is_calm = |entry: &WorkerEntry| !entry.is_kept_apart(now) && !outages.include(entry);
        let calm = self.workers.iter().filter(|(_, entry)| is_calm(entry));
        calm.map(|(number, _)| *number).collect()
    }

    /// Returns whether a task is to be started apart from others, since workers have crashed under it.
    pub(super) fn is_started_apart(&self, task: id::TaskId) -> bool {
        self.task(task).is_some_and(|entry| {
            entry.crashes.crashes > 0 || entry.explained_crashes >= MAX_HASTY_CRASHES
        })
    }

    /// Takes over a crash from the log.
    pub(super) fn update_crashes(
        &mut self,
        now: time::Monotonic,
        crashed: &state::CrashedRun,
        state: &state::State,
    ) {
        let Some(entry) = self.task_mut(crashed.task) else { return };
        entry.crashes = state.get_crashes(crashed.task);
        entry.explained_crashes = state.get_explained_crashes(crashed.task);
        if crashed.is_explained() {
            entry.explained_at = now;
        }
    }
}

impl CrashPeriod {
    fn overlaps(self, other: Self) -> bool {
        self.from <= other.to && other.from <= self.to
    }
}

impl<'a> Outages<'a> {
    fn of<F>(&mut self, zone: &'a str, labels: &'a [String], count: F)
    where
        F: Fn(&mut Outage),
    {
        count(self.zones.entry(zone).or_default());
        count(self.racks.entry(labels).or_default());
    }

    /// Returns whether much of the worker's zone or rack is down.
    pub(super) fn include(&self, worker: &WorkerEntry) -> bool {
        let zone = self.zones.get(worker.announcement.zone.as_str());
        let rack = self.racks.get(worker.announcement.labels.as_slice());
        zone.into_iter().chain(rack).any(Outage::is_common)
    }
}

impl Outage {
    fn is_common(&self) -> bool {
        self.down >= MIN_COMMON_CRASHES && self.down * 2 >= self.all
    }
}

impl WorkerEntry {
    /// Returns whether the worker does not answer, or another incarnation does.
    fn is_down(&self) -> bool {
        self.is_unresponsive || self.has_successor || self.is_gone
    }

    /// Returns the period in which the worker crashed, if it did: after its last report, or shortly
    /// before its connection was lost.
    fn crash_period(&self, now: time::Monotonic) -> CrashPeriod {
        let silent_since = self.silent_since.unwrap_or(now);
        let to = self.next_began_by.map_or(silent_since, |began_by| began_by.min(silent_since));
        let lost = earlier(silent_since, NOTICE_DELAY);
        let from = if self.is_lost_at_crash() { lost } else { self.reported_at };
        CrashPeriod { from, to: to.max(from) }
    }

    /// Returns whether the connection was lost as the worker crashed, so that it had not crashed before.
    /// The next incarnation resets the connections of one that crashed silently.
    pub(super) fn is_lost_at_crash(&self) -> bool {
        let reset_by = self.silent_since.map(|since| since + NOTICE_DELAY);
        let is_reset = self.next_began_by.is_some_and(|by| reset_by.is_some_and(|at| by <= at));
        self.is_silence_exact && !is_reset
    }
}

/// Returns the time that lies `span` before `time`.
fn earlier(time: time::Monotonic, span: Duration) -> time::Monotonic {
    time::Monotonic::ZERO + time.since(time::Monotonic::ZERO + span)
}
