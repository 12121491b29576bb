use std::collections::BTreeSet;

use comfreymill_types::time;

use crate::id;

/// Workers by the time at which something is due on them.
#[derive(Debug, Default)]
pub(super) struct Timers {
    due: BTreeSet<(time::Monotonic, id::WorkerNumber)>,
}

impl Timers {
    /// Moves a worker's timer from `from` to `to`.
    pub(super) fn update(
        &mut self,
        number: id::WorkerNumber,
        from: Option<time::Monotonic>,
        to: Option<time::Monotonic>,
    ) {
        if from == to {
            return;
        }
        if let Some(from) = from {
            self.due.remove(&(from, number));
        }
        if let Some(to) = to {
            self.due.insert((to, number));
        }
    }

    /// Returns up to `most` workers whose timers are due at `now`, the earliest first.
    pub(super) fn due(&self, now: time::Monotonic, most: usize) -> Vec<id::WorkerNumber> {
        let due = self.due.iter().take_while(|(at, _)| *at <= now);
        due.take(most).map(|(_, number)| *number).collect()
    }
}
