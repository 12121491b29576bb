use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use comfreymill_batch::action;
use comfreymill_batch::event;
use comfreymill_node::protocol;
use comfreymill_types::id;
use comfreymill_types::size;

use super::announcer::Announcer;
use super::run::Running;
use super::{Journal, Payload, RecordKind, WorkerConfig};

const PATH: &str = "/v1/workers";

/// Stand-in worker, which stops without notice, with all its attempts, when it is dropped.
#[derive(Debug)]
pub struct Worker {
    _running: Running,
}

impl Worker {
    /// Starts a worker.
    pub fn start(cfg: WorkerConfig, journal: Journal) -> Self {
        let name = cfg.name.to_string();
        let incarnation = comfreymill_node::runtime::incarnation();
        Self { _running: Running::start(&name, move || run(cfg, journal, incarnation)) }
    }
}

/// Attempt at a task, as the worker tracks it.
struct Attempt {
    payload: Payload,
    reserved: size::Resources,
    state: event::AttemptState,
    /// Work done so far, in milliseconds at full speed.
    done_ms: u64,
    checkpoint: Option<event::Checkpoint>,
    percent: u64,
    is_paused: bool,
    lease_until: Instant,
    advanced_at: Instant,
}

struct State {
    cfg: WorkerConfig,
    journal: Journal,
    incarnation: id::Incarnation,
    sequence: u64,
    attempts: BTreeMap<id::AttemptId, Attempt>,
}

async fn run(cfg: WorkerConfig, journal: Journal, incarnation: id::Incarnation) {
    let mut announcer = Announcer::new(cfg.entries.clone(), PATH);
    let period = cfg.period;
    let mut state = State { cfg, journal, incarnation, sequence: 0, attempts: BTreeMap::new() };
    loop {
        state.advance();
        state.sequence += 1;
        let sent_at = Instant::now();
        let answer = announcer.report(&state.heartbeat()).await;
        if let Some(directives) = answer.and_then(|body| parse(&body)) {
            state.follow(directives, sent_at);
        }
        monoio::time::sleep(period).await;
    }
}

fn parse(body: &Bytes) -> Option<protocol::WorkerDirectives> {
    serde_json::from_slice(body).ok()
}

impl State {
    fn heartbeat(&self) -> protocol::WorkerHeartbeat {
        let attempts = self.attempts.iter().map(|(id, attempt)| event::AttemptReport {
            attempt: *id,
            state: attempt.state.clone(),
            checkpoint: attempt.checkpoint.clone(),
            usage: Some(attempt.reserved),
        });
        protocol::WorkerHeartbeat {
            report: event::Heartbeat {
                worker: self.cfg.name.clone(),
                incarnation: self.incarnation,
                sequence: self.sequence,
                region: self.cfg.region.clone(),
                zone: self.cfg.zone.clone(),
                rack: self.cfg.rack.clone(),
                capacity: self.cfg.capacity,
                executors: Vec::new(),
                attempts: attempts.collect(),
                usage_age: Duration::ZERO,
                leaving: false,
            },
            latencies: Vec::new(),
        }
    }

    /// Advances all attempts to the current time and records those that ended.
    fn advance(&mut self) {
        let now = Instant::now();
        let name = self.cfg.name.to_string();
        for (id, attempt) in &mut self.attempts {
            attempt.advance(now);
            if let Some(kind) = attempt.end_if_due(now) {
                self.journal.note(&name, &id.to_string(), kind);
            }
        }
    }

    /// Applies the directives that answer the last heartbeat; older ones are ignored.
    fn follow(&mut self, directives: protocol::WorkerDirectives, sent_at: Instant) {
        if directives.sequence != self.sequence {
            return;
        }
        let lease_until = sent_at + directives.lease.get_duration();
        let listed: Vec<_> =
            directives.attempts.iter().map(|directive| directive.assignment.attempt).collect();
        self.attempts.retain(|id, attempt| listed.contains(id) || !attempt.state.is_ended());
        let name = self.cfg.name.to_string();
        for (id, attempt) in &mut self.attempts {
            if !listed.contains(id) && attempt.stop() {
                self.journal.note(&name, &id.to_string(), RecordKind::Stopped);
            }
        }
        for directive in directives.attempts {
            self.apply_to_attempt(&name, directive, lease_until);
        }
    }

    fn apply_to_attempt(
        &mut self,
        name: &str,
        directive: protocol::AttemptDirective,
        lease_until: Instant,
    ) {
        let assignment = directive.assignment;
        let id = assignment.attempt;
        if !self.attempts.contains_key(&id) {
            // The answer may have waited longer than the lease that it grants.
            let has_lapsed = lease_until <= Instant::now();
            if assignment.directive == action::Directive::Stop || has_lapsed {
                return;
            }
            self.check_capacity(id, &assignment.reserved);
            self.journal.note(name, &id.to_string(), RecordKind::Began);
            let payload = serde_json::from_str(&directive.payload).unwrap_or_default();
            let attempt = Attempt::new(payload, &assignment, lease_until);
            self.attempts.insert(id, attempt);
        }
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        attempt.lease_until = lease_until;
        attempt.is_paused = false;
        match assignment.directive {
            action::Directive::Run => attempt.percent = 100,
            action::Directive::Throttle(percent) => attempt.percent = u64::from(percent.get()),
            action::Directive::Checkpoint => attempt.take_checkpoint(),
            action::Directive::Stop => {
                if attempt.stop() {
                    self.journal.note(name, &id.to_string(), RecordKind::Stopped);
                }
            }
        }
    }

    /// Records a failure when a new attempt exceeds the worker's capacity.
    fn check_capacity(&self, id: id::AttemptId, reserved: &size::Resources) {
        let running = self.attempts.values().filter(|attempt| !attempt.state.is_ended());
        let used = running.fold(*reserved, |sum, attempt| sum + attempt.reserved);
        if !used.fits_in(&self.cfg.capacity) {
            let subject = format!("overfull {id}: {used}");
            self.journal.note(self.cfg.name.as_str(), &subject, RecordKind::Failed);
        }
    }
}

impl Attempt {
    fn new(payload: Payload, assignment: &action::Assignment, lease_until: Instant) -> Self {
        let checkpoint = assignment.checkpoint.as_ref();
        let done = checkpoint.and_then(|checkpoint| checkpoint.data.as_ref().try_into().ok());
        Self {
            payload,
            reserved: assignment.reserved,
            state: event::AttemptState::Running,
            done_ms: done.map_or(0, u64::from_be_bytes),
            checkpoint: assignment.checkpoint.clone(),
            percent: 100,
            is_paused: false,
            lease_until,
            advanced_at: Instant::now(),
        }
    }

    fn advance(&mut self, now: Instant) {
        let until = now.min(self.lease_until);
        let elapsed = until.saturating_duration_since(self.advanced_at);
        self.advanced_at = now;
        if !self.state.is_ended() && !self.is_paused {
            self.done_ms += elapsed.as_millis() as u64 * self.percent / 100;
        }
    }

    /// Ends the attempt if its work is done or its lease has expired.
    fn end_if_due(&mut self, now: Instant) -> Option<RecordKind> {
        if self.state.is_ended() {
            return None;
        }
        if self.payload.work_ms.is_some_and(|work| self.done_ms >= work) {
            if self.payload.fails {
                let progress = event::Progress::PastCheckpoint;
                let reason = "the task's payload asks for a failure".to_owned();
                self.state = event::AttemptState::Failed { reason, progress };
                return Some(RecordKind::Failed);
            }
            self.state = event::AttemptState::Finished;
            return Some(RecordKind::Finished);
        }
        (now >= self.lease_until && self.stop()).then_some(RecordKind::Stopped)
    }

    /// Stops the attempt, and returns whether it was running.
    fn stop(&mut self) -> bool {
        if self.state.is_ended() {
            return false;
        }
        let data = self.progress();
        let saved = self.checkpoint.as_ref().is_some_and(|checkpoint| checkpoint.data == data);
        let progress =
            if saved { event::Progress::AtCheckpoint } else { event::Progress::PastCheckpoint };
        self.state = event::AttemptState::Stopped { progress };
        true
    }

    fn take_checkpoint(&mut self) {
        self.is_paused = true;
        let data = self.progress();
        if self.checkpoint.as_ref().is_none_or(|checkpoint| checkpoint.data != data) {
            let last = self.checkpoint.as_ref().map_or(0, |checkpoint| checkpoint.sequence);
            let sequence = last + 1;
            self.checkpoint = Some(event::Checkpoint { sequence, data });
        }
    }

    fn progress(&self) -> Bytes {
        Bytes::copy_from_slice(&self.done_ms.to_be_bytes())
    }
}
