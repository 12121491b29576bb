use std::time::Duration;

use comfreymill_batch::action;
use comfreymill_batch::config;
use comfreymill_batch::event;
use comfreymill_batch::scheduler;
use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::time;

use crate::simulation::{FakeWorker, environment};

/// Scheduler whose proposals are committed immediately while `auto_commit` is set.
pub(crate) struct Harness {
    pub(crate) scheduler: scheduler::Scheduler,
    pub(crate) now: time::Monotonic,
    pub(crate) actions: Vec<action::Action>,
    pub(crate) auto_commit: bool,
}

impl Harness {
    pub(crate) fn new(cfg: config::Config) -> Self {
        let now = time::Monotonic::ZERO;
        let scheduler = scheduler::Scheduler::new(cfg, now);
        let mut harness = Self { scheduler, now, actions: Vec::new(), auto_commit: true };
        let stage = document::Stage::Production;
        let environment = Box::new(environment());
        harness.send(event::Event::DocumentInForce { stage, environment });
        harness
    }

    pub(crate) fn send(&mut self, event: event::Event) {
        self.scheduler.handle(self.now, event);
        for action in self.scheduler.take_actions() {
            self.actions.push(action.clone());
            if self.auto_commit
                && let Some(event) = confirm(action)
            {
                self.send(event);
            }
        }
    }

    pub(crate) fn add(&mut self, view: event::TaskView) -> id::TaskId {
        let id = view.id;
        self.send(event::Event::TaskAdded(Box::new(view)));
        id
    }

    /// Sends a heartbeat of the worker to the scheduler and the answer back to the worker.
    pub(crate) fn heartbeat(&mut self, worker: &mut FakeWorker) -> Vec<action::Assignment> {
        let heartbeat = worker.heartbeat();
        let (incarnation, sequence) = (heartbeat.incarnation, heartbeat.sequence);
        self.send(event::Event::WorkerHeartbeat(Box::new(heartbeat)));
        let name = &worker.name;
        let assignments =
            self.scheduler.desired(name, incarnation, sequence).expect("it is the newest");
        let answer = crate::simulation::Answer {
            worker: 0,
            incarnation,
            term: 1,
            sequence,
            sent_millis: 0,
            lease: Duration::from_secs(10),
            assignments: assignments.clone(),
        };
        worker.accept_answer(&answer);
        assignments
    }

    /// Advances the time by `span` and sends a tick.
    pub(crate) fn advance(&mut self, span: Duration) {
        self.now = self.now + span;
        self.send(event::Event::Tick);
    }

    /// Advances the time by `secs` seconds, with a heartbeat of each worker every second.
    pub(crate) fn advance_with(&mut self, secs: u64, workers: &mut [FakeWorker]) {
        for _ in 0..secs {
            self.advance(Duration::from_secs(1));
            for worker in &mut *workers {
                self.heartbeat(worker);
            }
        }
    }

    /// Returns the worker of the last start of a task.
    pub(crate) fn started_on(&self, id: id::TaskId) -> Option<id::WorkerName> {
        self.actions.iter().rev().find_map(|action| match action {
            action::Action::Start { attempt, .. } if attempt.id.task == id => {
                Some(attempt.worker.clone())
            }
            _ => None,
        })
    }

    /// Returns the number of starts of a task.
    pub(crate) fn starts(&self, id: id::TaskId) -> usize {
        self.count(
            |action| matches!(action, action::Action::Start { attempt, .. } if attempt.id.task == id),
        )
    }

    pub(crate) fn count<F>(&self, matches: F) -> usize
    where
        F: Fn(&action::Action) -> bool,
    {
        self.actions.iter().filter(|action| matches(action)).count()
    }

    /// Returns the job numbers of the started tasks, in order of start.
    pub(crate) fn order_of_starts(&self) -> Vec<u64> {
        let starts = self.actions.iter().filter_map(|action| match action {
            action::Action::Start { attempt, .. } => Some(attempt.id.task.job.get()),
            _ => None,
        });
        starts.collect()
    }
}

fn confirm(action: action::Action) -> Option<event::Event> {
    match action {
        action::Action::Start { attempt, .. } => Some(event::Event::AttemptStarted(attempt)),
        action::Action::RecordCheckpoint { attempt, checkpoint } => {
            Some(event::Event::CheckpointRecorded { attempt, checkpoint })
        }
        action::Action::End { attempt, outcome, checkpoint, park } => {
            Some(event::Event::AttemptEnded { attempt, outcome, checkpoint, park })
        }
        action::Action::Park { task, reason } => Some(event::Event::TaskParked { task, reason }),
        action::Action::Unpark { task } => Some(event::Event::TaskUnparked(task)),
        _ => None,
    }
}
