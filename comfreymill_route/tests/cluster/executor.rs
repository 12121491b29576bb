use std::collections::HashMap;

use super::message::Attempt;

/// Simulated executor with a count of the starts of each request, kept across restarts.
#[derive(Debug)]
pub(super) struct Executor {
    pub(super) name: String,
    pub(super) incarnation: u64,
    pub(super) is_up: bool,
    pub(super) is_leaving: bool,
    pub(super) slots: usize,
    pub(super) running: Vec<Attempt>,
    pub(super) start_counts: HashMap<u64, u32>,
}

impl Executor {
    pub(super) fn new(number: usize, slots: usize) -> Self {
        Self {
            name: format!("e{number}"),
            incarnation: 1,
            is_up: true,
            is_leaving: false,
            slots,
            running: Vec::new(),
            start_counts: HashMap::new(),
        }
    }

    /// Starts a request and checks that a slot is free.
    pub(super) fn start(&mut self, attempt: Attempt) {
        assert!(
            self.running.len() < self.slots,
            "{} has {} slots, runs {:?} and got {attempt:?}",
            self.name,
            self.slots,
            self.running
        );
        self.running.push(attempt);
        *self.start_counts.entry(attempt.request).or_default() += 1;
    }

    /// Ends a request; returns whether it was running in the present incarnation.
    pub(super) fn end(&mut self, incarnation: u64, attempt: Attempt) -> bool {
        let position = self.running.iter().position(|running| *running == attempt);
        let was_running = incarnation == self.incarnation && position.is_some();
        if let Some(position) = position.filter(|_| was_running) {
            self.running.swap_remove(position);
        }
        was_running
    }

    pub(super) fn stop(&mut self) {
        self.is_up = false;
        self.running.clear();
    }

    pub(super) fn restart(&mut self) {
        self.incarnation += 1;
        self.is_up = true;
        self.is_leaving = false;
    }
}
