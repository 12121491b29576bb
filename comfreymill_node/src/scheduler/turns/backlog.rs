use std::collections::VecDeque;
use std::time::Duration;

use comfreymill_types::time;

use super::Kind;

/// Input that waits for its turn.
#[derive(Debug)]
pub struct Queued<T> {
    /// Kind of the input.
    pub kind: Kind,
    /// When the input was queued.
    pub queued_at: time::Monotonic,
    /// The input.
    pub input: T,
}

/// Inputs that wait, in one queue for each kind, and what is left of the quotas of this turn.
#[derive(Debug)]
pub struct Backlog<T> {
    queues: [VecDeque<Queued<T>>; Kind::ALL.len()],
    left: [usize; Kind::ALL.len()],
}

impl<T> Default for Backlog<T> {
    fn default() -> Self {
        Self { queues: Kind::ALL.map(|_| VecDeque::new()), left: [0; Kind::ALL.len()] }
    }
}

impl<T> Backlog<T> {
    /// Adds an input to the queue of its kind.
    pub fn push(&mut self, kind: Kind, queued_at: time::Monotonic, input: T) {
        self.queues[kind.position()].push_back(Queued { kind, queued_at, input });
    }

    /// Begins a turn: every kind may use its quota again.
    pub fn begin_turn(&mut self) {
        self.left = Kind::ALL.map(Kind::quota);
    }

    /// Returns the oldest input of the most urgent kind that has not used its quota of this turn;
    /// `None` ends the turn.
    pub fn next_input(&mut self) -> Option<Queued<T>> {
        let queues = self.queues.iter_mut().zip(&mut self.left);
        for (queue, left) in queues {
            if *left > 0
                && let Some(queued) = queue.pop_front()
            {
                *left -= 1;
                return Some(queued);
            }
        }
        None
    }

    /// Removes and returns the inputs of a kind for which `is_removed` returns true.
    pub fn remove_if<F>(&mut self, kind: Kind, mut is_removed: F) -> Vec<T>
    where
        F: FnMut(&T) -> bool,
    {
        let queue = std::mem::take(&mut self.queues[kind.position()]);
        let (removed, kept): (VecDeque<_>, VecDeque<_>) =
            queue.into_iter().partition(|queued| is_removed(&queued.input));
        self.queues[kind.position()] = kept;
        removed.into_iter().map(|queued| queued.input).collect()
    }

    /// Returns for how long the oldest input has waited, of all kinds but agreement.
    #[must_use]
    pub fn longest_wait(&self, now: time::Monotonic) -> Duration {
        let kinds = Kind::ALL.into_iter().filter(|kind| *kind != Kind::Agreement);
        kinds.map(|kind| self.oldest_wait(kind, now)).max().unwrap_or_default()
    }

    /// Returns whether no input waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queues.iter().all(VecDeque::is_empty)
    }

    /// Returns the number of inputs of a kind that wait.
    #[must_use]
    pub fn len(&self, kind: Kind) -> usize {
        self.queues[kind.position()].len()
    }

    /// Returns for how long the oldest input of a kind has waited; zero if none waits.
    #[must_use]
    pub fn oldest_wait(&self, kind: Kind, now: time::Monotonic) -> Duration {
        let oldest = self.queues[kind.position()].front();
        oldest.map_or(Duration::ZERO, |queued| now.since(queued.queued_at))
    }
}
