use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::Work;

/// Interval at which a task that saves its progress does so.
const CHECKPOINT: Duration = Duration::from_millis(500);
/// Start-up of a task that lasts, after which it is at work.
const START_UP: Duration = Duration::from_millis(300);

/// Run that has begun.
#[derive(Clone, Debug)]
pub(crate) struct Started {
    pub(crate) task: String,
    pub(crate) run: u64,
    pub(crate) executor: String,
}

/// Run that has ended.
#[derive(Clone, Debug)]
pub(crate) struct End {
    pub(crate) number: u64,
    pub(crate) task: String,
    pub(crate) run: u64,
    pub(crate) how: &'static str,
    pub(crate) saved: String,
}

/// Run in progress.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) run: u64,
    pub(super) work: Work,
    pub(super) began: Instant,
    /// Work that was done before, by the checkpoint that the start carried.
    pub(super) resumed: Duration,
}

/// One incarnation of an executor: what it knows and runs is gone with it.
#[derive(Debug)]
pub(super) struct Life {
    pub(super) born_unix_ms: u64,
    pub(super) began: Instant,
    pub(super) fence: u64,
    pub(super) lease_until_ms: u64,
    pub(super) running: BTreeMap<String, Run>,
    pub(super) ended: Vec<End>,
    pub(super) last_end: u64,
    /// Highest run of each task that was stopped or has ended.
    pub(super) over: BTreeMap<String, u64>,
}

impl Run {
    fn done(&self) -> Duration {
        self.resumed + self.began.elapsed()
    }

    fn is_done(&self) -> bool {
        self.work.duration.is_some_and(|duration| self.done() >= duration)
    }

    /// Returns the latest checkpoint; empty if there is none.
    pub(super) fn saved(&self) -> String {
        if !self.work.is_saved || self.done() < CHECKPOINT {
            return String::new();
        }
        let steps = self.done().as_millis() / CHECKPOINT.as_millis();
        format!("{:016x}", steps * CHECKPOINT.as_millis())
    }

    pub(super) fn percent(&self) -> u64 {
        let whole = self.work.duration.unwrap_or(START_UP);
        (self.done().as_millis() * 100 / whole.as_millis().max(1)).min(100) as u64
    }
}

impl Life {
    /// Begins an incarnation.
    pub(super) fn begin() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            born_unix_ms: unix.as_millis() as u64,
            began: Instant::now(),
            fence: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            over: BTreeMap::new(),
        }
    }

    /// Returns the reading of the steady clock, which begins anew with each incarnation.
    pub(super) fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Returns the reserved processor time, in thousandths of a core.
    pub(super) fn used_cpu(&self) -> u64 {
        self.running.values().map(|run| run.work.cpu).sum()
    }

    /// Ends the runs that are done, or all of them once the lease is over.
    pub(super) fn settle(&mut self) -> Vec<End> {
        let has_lapsed = self.clock_ms() >= self.lease_until_ms;
        let is_over = |run: &Run| run.is_done() || has_lapsed;
        let over = self.running.iter().filter(|(_, run)| is_over(run));
        let over: Vec<(String, bool)> =
            over.map(|(task, run)| (task.clone(), run.is_done())).collect();
        let mut ends = Vec::new();
        for (task, is_done) in over {
            ends.extend(self.end(&task, if is_done { "done" } else { "lapsed" }));
        }
        ends
    }

    /// Ends the run of a task and lists its end.
    pub(super) fn end(&mut self, task: &str, how: &'static str) -> Option<End> {
        let ended = self.running.remove(task)?;
        self.last_end += 1;
        let over = self.over.entry(task.to_owned()).or_default();
        *over = ended.run.max(*over);
        let saved = if how == "done" { String::new() } else { ended.saved() };
        let number = self.last_end;
        let end = End { number, task: task.to_owned(), run: ended.run, how, saved };
        self.ended.push(end.clone());
        Some(end)
    }
}
