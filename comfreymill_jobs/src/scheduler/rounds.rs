use comfreymill_types::time;

use super::round::Round;

/// Steps of work that fillers get between two rounds over the other tasks, if they need as many.
const MIN_FILLING_STEPS: u64 = 1_000;

/// Which waiting steps a round goes through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Tier {
    /// Steps whose tasks reserve processors.
    Reserving,
    /// Steps of fillers.
    Filling,
}

/// Rounds over the waiting steps, one for each tier.
///
/// Load pattern: thousands of fillers wait for headroom on hundreds of workers, and a round over them
/// takes seconds. Short tasks that become ready in the meantime do not wait for its end.
#[derive(Debug, Default)]
pub(super) struct Rounds {
    reserving: Round,
    filling: Round,
    /// Whether something has changed since the last round over the fillers began.
    is_filling_wanted: bool,
    /// Steps of work for fillers since the last round over the other tasks began.
    filling_steps: u64,
}

impl Rounds {
    /// Returns the round of a tier.
    pub(super) fn get_mut(&mut self, tier: Tier) -> &mut Round {
        match tier {
            Tier::Reserving => &mut self.reserving,
            Tier::Filling => &mut self.filling,
        }
    }

    /// Returns whether a round over the tasks that reserve processors may begin.
    pub(super) fn may_begin(&self, now: time::Monotonic) -> bool {
        let had_fillers_turn = self.filling.is_over() || self.filling_steps >= MIN_FILLING_STEPS;
        self.reserving.is_due(now) && had_fillers_turn
    }

    /// Notes that a round over the tasks that reserve processors begins; one over the fillers is to
    /// follow.
    pub(super) fn begun(&mut self) {
        self.is_filling_wanted = true;
        self.filling_steps = 0;
    }

    /// Returns whether a round over the fillers is to begin.
    pub(super) fn is_filling_due(&self, now: time::Monotonic) -> bool {
        self.is_filling_wanted && self.reserving.is_over() && self.filling.is_due(now)
    }

    /// Notes that a round over the fillers begins.
    pub(super) fn filling_begun(&mut self) {
        self.is_filling_wanted = false;
    }

    /// Counts work for fillers.
    pub(super) fn add_filling_steps(&mut self, steps: u64) {
        self.filling_steps += steps;
    }

    /// Returns whether all steps had their turn.
    pub(super) fn are_over(&self) -> bool {
        self.reserving.is_over() && self.filling.is_over()
    }
}
