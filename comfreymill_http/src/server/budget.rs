use std::{cell, rc};

/// Memory limit shared by the collected bodies of all requests of a listener.
#[derive(Clone, Debug)]
pub(super) struct Budget {
    used_bytes: rc::Rc<cell::Cell<u64>>,
    max_bytes: u64,
}

impl Budget {
    pub(super) fn new(max_bytes: u64) -> Self {
        Self { used_bytes: rc::Rc::default(), max_bytes }
    }

    /// Returns an empty reservation.
    pub(super) fn reservation(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }
}

/// Memory that one request has reserved from the budget; returned when this is dropped.
#[derive(Debug)]
pub(super) struct Reservation {
    budget: Budget,
    bytes: u64,
}

impl Reservation {
    /// Reserves more memory from the budget; returns false if the limit would be exceeded.
    pub(super) fn try_reserve(&mut self, bytes: u64) -> bool {
        let used_bytes = self.budget.used_bytes.get().saturating_add(bytes);
        if used_bytes > self.budget.max_bytes {
            return false;
        }
        self.budget.used_bytes.set(used_bytes);
        self.bytes += bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let used_bytes = &self.budget.used_bytes;
        used_bytes.set(used_bytes.get() - self.bytes);
    }
}
