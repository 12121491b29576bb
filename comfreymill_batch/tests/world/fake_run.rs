use comfreymill_batch::event;
use comfreymill_types::id;
use comfreymill_types::size;

/// Attempt at a fake worker.
#[derive(Clone, Debug)]
pub(crate) struct FakeRun {
    pub(crate) attempt: id::AttemptId,
    pub(crate) reserved: size::Resources,
    pub(crate) state: event::AttemptState,
    /// Units done, those before its checkpoint included.
    pub(crate) units: u32,
    /// Units that its latest checkpoint holds.
    pub(crate) saved: u32,
    /// Milliseconds towards the next unit.
    pub(crate) millis: u64,
    pub(crate) held: bool,
    pub(crate) speed_percent: u64,
    pub(crate) begun: bool,
}

impl FakeRun {
    /// How far it has come.
    pub(crate) fn progress(&self) -> event::Progress {
        if !self.begun {
            event::Progress::NotBegun
        } else if self.units == self.saved && self.saved > 0 {
            event::Progress::AtCheckpoint
        } else {
            event::Progress::PastCheckpoint
        }
    }

    /// Latest checkpoint, if it has one.
    pub(crate) fn checkpoint(&self) -> Option<event::Checkpoint> {
        (self.saved > 0).then(|| event::Checkpoint {
            sequence: u64::from(self.saved),
            data: self.saved.to_be_bytes().to_vec().into(),
        })
    }

    /// Report of it for a heartbeat.
    pub(crate) fn report(&self) -> event::AttemptReport {
        event::AttemptReport {
            attempt: self.attempt,
            state: self.state.clone(),
            checkpoint: self.checkpoint(),
            usage: Some(self.reserved),
        }
    }
}
