use comfreymill_batch::action;
use comfreymill_batch::event;
use comfreymill_types::id;

use super::Kind;

/// Attempt at a task on a fake worker.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) attempt: id::AttemptId,
    pub(super) kind: Kind,
    pub(super) cores: f64,
    /// Seconds of work done, including those before the checkpoint it started from.
    pub(super) done: f64,
    /// Seconds of work after which the attempt finishes.
    pub(super) total: f64,
    /// Seconds of work covered by the last checkpoint.
    pub(super) saved: f64,
    pub(super) checkpoint_every: Option<f64>,
    pub(super) directive: action::Directive,
    pub(super) state: event::AttemptState,
}

impl Run {
    /// Returns the fraction of full speed that the last directive allows.
    pub(super) fn speed(&self) -> f64 {
        if self.state.is_ended() {
            return 0.0;
        }
        match self.directive {
            action::Directive::Run => 1.0,
            action::Directive::Throttle(percent) => percent.as_factor(),
            action::Directive::Checkpoint | action::Directive::Stop => 0.0,
        }
    }

    /// Does `seconds` of work at full speed.
    pub(super) fn advance(&mut self, seconds: f64) {
        self.state = event::AttemptState::Running;
        self.done += seconds;
        if self.done >= self.total {
            self.state = event::AttemptState::Finished;
        } else if self.checkpoint_every.is_some_and(|every| self.done - self.saved >= every) {
            self.saved = self.done;
        }
    }

    /// Applies a directive of the scheduler.
    pub(super) fn apply(&mut self, directive: action::Directive) {
        if self.state.is_ended() {
            return;
        }
        self.directive = directive;
        match directive {
            action::Directive::Checkpoint if self.checkpoint_every.is_some() => {
                self.saved = self.done;
            }
            action::Directive::Stop => {
                let progress = self.progress();
                self.state = event::AttemptState::Stopped { progress };
            }
            _ => {}
        }
    }

    pub(super) fn fail(&mut self) {
        let progress = event::Progress::NotBegun;
        self.state = event::AttemptState::Failed { reason: "no disk".to_owned(), progress };
    }

    pub(super) fn checkpoint(&self) -> Option<event::Checkpoint> {
        let sequence = (self.saved * 1_000.0) as u64;
        let data = bytes::Bytes::copy_from_slice(&self.saved.to_be_bytes());
        (sequence > 0).then_some(event::Checkpoint { sequence, data })
    }

    fn progress(&self) -> event::Progress {
        if self.state == event::AttemptState::Starting {
            event::Progress::NotBegun
        } else if self.saved > 0.0 && self.done <= self.saved {
            event::Progress::AtCheckpoint
        } else {
            event::Progress::PastCheckpoint
        }
    }
}
