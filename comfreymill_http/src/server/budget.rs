use std::{cell, rc};

/// Memory that the collected bodies of a listener's requests share.
#[derive(Clone, Debug)]
pub(super) struct Budget {
    used_bytes: rc::Rc<cell::Cell<u64>>,
    max_bytes: u64,
}

impl Budget {
    pub(super) fn new(max_bytes: u64) -> Self {
        Self { used_bytes: rc::Rc::default(), max_bytes }
    }

    /// A share of nothing yet.
    pub(super) fn share(&self) -> Share {
        Share { budget: self.clone(), bytes: 0 }
    }
}

/// What one request holds of the budget; given back when it is dropped.
#[derive(Debug)]
pub(super) struct Share {
    budget: Budget,
    bytes: u64,
}

impl Share {
    /// Takes more of the budget; false if it does not last.
    pub(super) fn take(&mut self, bytes: u64) -> bool {
        let used_bytes = self.budget.used_bytes.get().saturating_add(bytes);
        if used_bytes > self.budget.max_bytes {
            return false;
        }
        self.budget.used_bytes.set(used_bytes);
        self.bytes += bytes;
        true
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let used_bytes = &self.budget.used_bytes;
        used_bytes.set(used_bytes.get() - self.bytes);
    }
}
