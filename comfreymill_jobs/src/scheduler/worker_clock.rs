use super::Config;
use super::clock_reading::ClockReading;

/// What is known of a worker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WorkerClock {
    /// Reading that bounds the clock.
    pub(super) reading: ClockReading,
    /// Latest reading, if it cannot be one of the same clock.
    doubtful: Option<ClockReading>,
}

/// What became of a reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadingOutcome {
    /// It agrees with the earlier ones.
    Used,
    /// It cannot be a reading of the same clock, and is not used.
    Doubted,
    /// It agrees with the doubtful one before it, and both replace the earlier ones.
    Replaced,
}

impl WorkerClock {
    pub(super) fn new(reading: ClockReading) -> Self {
        Self { reading, doubtful: None }
    }

    /// Handles a reading. One that contradicts the earlier ones counts once the next agrees with it,
    /// since either may be the odd one.
    pub(super) fn update(&mut self, cfg: &Config, reading: ClockReading) -> ReadingOutcome {
        let doubtful = self.doubtful.take();
        if self.reading.agrees_with(cfg, &reading) {
            if reading.clock_ms > self.reading.min_at(cfg, reading.received_at) {
                self.reading = reading;
            }
            return ReadingOutcome::Used;
        }
        let is_confirmed = doubtful.is_some_and(|doubtful| {
            reading.received_at > doubtful.received_at && doubtful.agrees_with(cfg, &reading)
        });
        if is_confirmed {
            self.reading = reading;
            return ReadingOutcome::Replaced;
        }
        self.doubtful = Some(reading);
        ReadingOutcome::Doubted
    }

    /// Returns whether the latest reading was not used.
    pub(super) fn is_doubtful(&self) -> bool {
        self.doubtful.is_some()
    }
}
