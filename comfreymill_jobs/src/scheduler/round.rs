use std::time::Duration;
use std::vec;

use comfreymill_types::time;

use super::without_room::WithoutRoom;
use crate::id;

/// Time between the begin of two rounds for each step that waits, while the workers are full:
/// putting the steps in order takes a part of it.
const PERIOD_PER_STEP: Duration = Duration::from_micros(5);
/// Number of waiting steps up to which the next round begins at once.
const MAX_STEPS_AT_ONCE: usize = 200;

/// Pass over the waiting steps, the most urgent first, which may take several turns.
#[derive(Debug, Default)]
pub(super) struct Round {
    steps: vec::IntoIter<id::StepId>,
    current: Option<id::StepId>,
    /// Needs for which no worker had room in this round.
    pub(super) without_room: WithoutRoom,
    next_at: time::Monotonic,
}

impl Round {
    /// Begins the next round with the steps in the order in which to place them.
    pub(super) fn begin(&mut self, now: time::Monotonic, steps: Vec<id::StepId>) {
        self.next_at = now;
        if steps.len() > MAX_STEPS_AT_ONCE {
            let count = u32::try_from(steps.len()).unwrap_or(u32::MAX);
            self.next_at = now + PERIOD_PER_STEP.saturating_mul(count);
        }
        self.without_room.clear();
        self.steps = steps.into_iter();
        self.current = self.steps.next();
    }

    /// Returns whether the next round may begin.
    pub(super) fn is_due(&self, now: time::Monotonic) -> bool {
        self.is_over() && (now >= self.next_at || self.without_room.is_empty())
    }

    /// Returns whether all steps had their turn.
    pub(super) fn is_over(&self) -> bool {
        self.current.is_none()
    }

    /// Returns the step whose turn it is.
    pub(super) fn current(&self) -> Option<id::StepId> {
        self.current
    }

    /// Gives the next step its turn.
    pub(super) fn advance(&mut self) {
        self.current = self.steps.next();
    }
}
