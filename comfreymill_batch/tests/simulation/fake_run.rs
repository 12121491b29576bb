use comfreymill_batch::event;
use comfreymill_types::id;
use comfreymill_types::size;

/// Attempt on a fake worker.
#[derive(Clone, Debug)]
pub(crate) struct FakeRun {
    pub(crate) attempt: id::AttemptId,
    pub(crate) reserved: size::Resources,
    pub(crate) state: event::AttemptState,
    /// Units done, including those before the checkpoint that it resumed from.
    pub(crate) units: u32,
    /// Units that the latest checkpoint covers.
    pub(crate) saved: u32,
    /// Milliseconds of work done towards the next unit.
    pub(crate) millis: u64,
    pub(crate) paused: bool,
    pub(crate) speed_percent: u64,
    pub(crate) begun: bool,
}

impl FakeRun {
    /// Returns the progress to report if the attempt ended now.
    pub(crate) fn progress(&self) -> event::Progress {
        if !self.begun {
            event::Progress::NotBegun
        } else if self.units == self.saved && self.saved > 0 {
            event::Progress::AtCheckpoint
        } else {
            event::Progress::PastCheckpoint
        }
    }

    /// Returns the latest checkpoint, if there is one.
    pub(crate) fn checkpoint(&self) -> Option<event::Checkpoint> {
        (self.saved > 0).then(|| event::Checkpoint {
            sequence: u64::from(self.saved),
            data: self.saved.to_be_bytes().to_vec().into(),
        })
    }

    /// Returns the report of the attempt for a heartbeat.
    pub(crate) fn report(&self) -> event::AttemptReport {
        event::AttemptReport {
            attempt: self.attempt,
            state: self.state.clone(),
            checkpoint: self.checkpoint(),
            usage: Some(self.reserved),
        }
    }
}
