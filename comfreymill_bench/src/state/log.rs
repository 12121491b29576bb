use std::time::{Duration, Instant};

use comfreymill_ledger::codec;
use comfreymill_ledger::command;
use comfreymill_ledger::ledger;

/// Ledger with the index of the last applied log entry.
#[derive(Debug, Default)]
pub(super) struct Log {
    pub(super) ledger: ledger::Ledger,
    index: u64,
}

/// Total cost of the commands of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cost {
    count: usize,
    bytes: usize,
    applying: Duration,
}

impl Log {
    /// Applies a command and adds its size and duration to `cost`.
    pub(super) fn apply(&mut self, command: command::Command, cost: &mut Cost) -> command::Reply {
        self.index += 1;
        let at = command::GroupTime::from_millis(self.index);
        let entry = command::Entry { at, command };
        cost.count += 1;
        cost.bytes += codec::encode(&entry).len();
        let began = Instant::now();
        let reply = self.ledger.apply(self.index, entry);
        cost.applying += began.elapsed();
        reply
    }
}

impl Cost {
    /// Returns the mean encoded size of a command, in bytes.
    pub(super) fn get_bytes(&self) -> f64 {
        self.bytes as f64 / self.count.max(1) as f64
    }

    /// Returns the mean time to apply a command, in microseconds.
    pub(super) fn get_micros(&self) -> f64 {
        self.applying.as_secs_f64() * 1e6 / self.count.max(1) as f64
    }
}
