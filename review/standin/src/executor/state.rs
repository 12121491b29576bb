use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::config;
use super::gangs::{Gangs, Progress};
use super::work::Work;
use crate::json;
use crate::record;

/// Most ends in one answer.
const MAX_ENDS: usize = 500;

/// Runs, ends and lease of one incarnation of an executor.
#[derive(Debug)]
pub(super) struct State {
    id: String,
    record: record::Record,
    gangs: Gangs,
    born_at: Instant,
    fence: u64,
    lease_until_ms: u64,
    runs: BTreeMap<String, Run>,
    /// Highest run of each task that has ended or was stopped here.
    floors: BTreeMap<String, u64>,
    ends: Vec<End>,
    next_end: u64,
}

#[derive(Debug)]
struct Run {
    run: u64,
    work: Work,
    begun: Instant,
    stopped_at: Option<Instant>,
}

#[derive(Debug)]
struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

impl State {
    pub(super) fn new(id: &str, record: record::Record, gangs: Gangs) -> Self {
        Self {
            id: id.to_owned(),
            record,
            gangs,
            born_at: Instant::now(),
            fence: 0,
            lease_until_ms: 0,
            runs: BTreeMap::new(),
            floors: BTreeMap::new(),
            ends: Vec::new(),
            next_end: 1,
        }
    }

    /// Returns the reading of the executor's clock.
    pub(super) fn clock_ms(&self) -> u64 {
        1_000 + self.born_at.elapsed().as_millis() as u64
    }

    /// Answers a start.
    pub(super) fn start(&mut self, body: &json::Value) -> (u16, Option<&'static str>) {
        let (Some(task), Some(run)) = (body.text("task"), body.number("run")) else {
            return (400, None);
        };
        if let Some(refusal) = self.check_fence(body) {
            return refusal;
        }
        let deadline = body.number("deadline_ms").unwrap_or(0);
        if deadline <= self.clock_ms() {
            return (409, Some("late"));
        }
        self.extend_lease(deadline);
        if self.runs.get(task).is_some_and(|entry| entry.run == run) {
            return (200, None);
        }
        let is_old = self.floors.get(task).is_some_and(|floor| *floor >= run);
        if is_old || self.runs.get(task).is_some_and(|entry| entry.run > run) {
            return (409, Some("old"));
        }
        let work = Work::parse(body.text("task_spec").unwrap_or_default());
        let used: u64 = self.runs.values().map(|entry| entry.work.cpu).sum();
        if self.runs.contains_key(task) || used + work.cpu > config::CPU_MILLI {
            return (409, Some("room"));
        }
        let entry = Run { run, work, begun: Instant::now(), stopped_at: None };
        if work.gang > 0 {
            self.gangs.join(task, run, work.gang);
        }
        self.record.begun(&self.id, task, run);
        self.runs.insert(task.to_owned(), entry);
        (200, None)
    }

    /// Answers a stop.
    pub(super) fn stop(&mut self, body: &json::Value) -> (u16, Option<&'static str>) {
        let (Some(task), Some(run)) = (body.text("task"), body.number("run")) else {
            return (400, None);
        };
        if let Some(refusal) = self.check_fence(body) {
            return refusal;
        }
        let floor = self.floors.entry(task.to_owned()).or_default();
        *floor = run.max(*floor);
        if let Some(entry) = self.runs.get_mut(task).filter(|entry| entry.run <= run) {
            entry.stopped_at.get_or_insert_with(Instant::now);
        }
        (200, None)
    }

    /// Takes note of a hold; returns a refusal, if there is one.
    pub(super) fn hold(&mut self, body: &json::Value) -> Option<(u16, Option<&'static str>)> {
        if let Some(refusal) = self.check_fence(body) {
            return Some(refusal);
        }
        if let Some(deadline) = body.number("deadline_ms") {
            self.extend_lease(deadline);
        }
        let last_seen = body.number("last_seen").unwrap_or(0);
        for end in self.ends.iter().filter(|end| end.number <= last_seen) {
            self.record.noted(&self.id, &end.task, end.run);
        }
        self.ends.retain(|end| end.number > last_seen);
        None
    }

    pub(super) fn has_ends(&self) -> bool {
        !self.ends.is_empty()
    }

    /// Returns the two lists of runs as fields of an answer.
    pub(super) fn lists(&self) -> String {
        let running = self.runs.iter().map(|(task, entry)| {
            let part = entry.begun.elapsed().as_millis() as u64 * 100 / entry.work.ms.max(1);
            format!("[\"{task}\",{},\"\",{}]", entry.run, part.min(99))
        });
        let running: Vec<String> = running.collect();
        let ended = self.ends.iter().take(MAX_ENDS).map(|end| {
            format!("[{},\"{}\",{},\"{}\",\"\"]", end.number, end.task, end.run, end.how)
        });
        let ended: Vec<String> = ended.collect();
        format!("\"running\":[{}],\"ended\":[{}]", running.join(","), ended.join(","))
    }

    /// Ends the runs that are over; returns whether any is.
    pub(super) fn advance(&mut self) -> bool {
        let has_lapsed = self.clock_ms() >= self.lease_until_ms;
        if has_lapsed && self.lease_until_ms > 0 {
            self.lease_until_ms = 0;
            self.record.lapsed(&self.id);
        }
        let ended = self.runs.iter().filter_map(|(task, entry)| {
            let how = if has_lapsed { Some("lapsed") } else { self.end_of(task, entry) };
            how.map(|how| (task.clone(), how))
        });
        let ended: Vec<(String, &'static str)> = ended.collect();
        for (task, how) in &ended {
            self.end(task, how);
        }
        !ended.is_empty()
    }

    /// Records that all runs ended with the incarnation.
    pub(super) fn crash(&mut self) {
        for (task, entry) in std::mem::take(&mut self.runs) {
            if entry.work.gang > 0 {
                self.gangs.leave(&task, entry.run);
            }
            self.record.ended(&self.id, &task, entry.run, "lost with the executor");
        }
    }

    /// Returns whether nothing runs.
    pub(super) fn is_idle(&self) -> bool {
        self.runs.is_empty()
    }

    fn end_of(&self, task: &str, entry: &Run) -> Option<&'static str> {
        if entry.stopped_at.is_some_and(|at| at.elapsed() >= config::STOP_TIME) {
            return Some("stopped");
        }
        let time = Duration::from_millis(entry.work.ms);
        if entry.work.gang == 0 {
            return (entry.begun.elapsed() >= time).then_some("done");
        }
        match self.gangs.progress(task, entry.run) {
            Progress::Works(since) => (since.elapsed() >= time).then_some("done"),
            Progress::Broken => Some("broken"),
            Progress::Waits if entry.begun.elapsed() >= config::GANG_TIMEOUT => Some("alone"),
            Progress::Waits => None,
        }
    }

    fn end(&mut self, task: &str, how: &'static str) {
        let Some(entry) = self.runs.remove(task) else { return };
        if entry.work.gang > 0 && how != "done" {
            self.gangs.leave(task, entry.run);
        }
        let floor = self.floors.entry(task.to_owned()).or_default();
        *floor = entry.run.max(*floor);
        self.record.ended(&self.id, task, entry.run, how);
        let number = self.next_end;
        self.next_end += 1;
        self.ends.push(End { number, task: task.to_owned(), run: entry.run, how });
    }

    fn check_fence(&mut self, body: &json::Value) -> Option<(u16, Option<&'static str>)> {
        let fence = body.number("fencing_token").unwrap_or(0);
        if fence < self.fence {
            return Some((409, Some("fence")));
        }
        self.fence = fence;
        None
    }

    fn extend_lease(&mut self, deadline_ms: u64) {
        let most = self.clock_ms() + config::HOLD_MAX.as_millis() as u64;
        self.lease_until_ms = self.lease_until_ms.max(deadline_ms.min(most));
    }
}
