use comfreymill_group::{id, message};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Messages in flight, and the faults of the network.
#[derive(Debug, Default)]
pub(crate) struct Network {
    /// Messages by arrival time in microseconds, then by send order.
    in_flight: BTreeMap<(u64, u64), (id::VoterId, id::VoterId, message::Message)>,
    sent: u64,
    /// Links whose messages arrive only at a given time, as sender and receiver, and that time.
    pub(crate) held: BTreeMap<(id::VoterId, id::VoterId), u64>,
    /// Cut links, as sender and receiver.
    pub(crate) cuts: BTreeSet<(id::VoterId, id::VoterId)>,
    pub(crate) loss_percent: u32,
    pub(crate) duplicate_percent: u32,
    pub(crate) slow_percent: u32,
    pub(crate) delay_max_micros: u64,
}

impl Network {
    /// Sends a message, which may be lost, delayed or duplicated.
    pub(crate) fn send(
        &mut self,
        rng: &mut ChaCha8Rng,
        now: u64,
        from: id::VoterId,
        to: id::VoterId,
        message: &message::Message,
    ) {
        if self.cuts.contains(&(from, to)) || rng.random_range(0..100) < self.loss_percent {
            return;
        }
        if let Some(until) = self.held.get(&(from, to)).copied() {
            self.defer(until, from, to, message.clone());
            return;
        }
        let copies = if rng.random_range(0..100) < self.duplicate_percent { 2 } else { 1 };
        for _ in 0..copies {
            let mut delay = rng.random_range(100..=self.delay_max_micros.max(200));
            if rng.random_range(0..100) < self.slow_percent {
                delay += rng.random_range(0..1_500_000);
            }
            self.sent += 1;
            self.in_flight.insert((now + delay, self.sent), (from, to, message.clone()));
        }
    }

    /// Removes and returns the next message that has arrived by `now`.
    pub(crate) fn arrived(
        &mut self,
        now: u64,
    ) -> Option<(u64, id::VoterId, id::VoterId, message::Message)> {
        let entry = self.in_flight.first_entry()?;
        let at = entry.key().0;
        if at > now {
            return None;
        }
        let (from, to, message) = entry.remove();
        Some((at, from, to, message))
    }

    /// Delays a message until `at`.
    pub(crate) fn defer(
        &mut self,
        at: u64,
        from: id::VoterId,
        to: id::VoterId,
        message: message::Message,
    ) {
        self.sent += 1;
        self.in_flight.insert((at, self.sent), (from, to, message));
    }

    /// Removes all faults and sets the maximum delay to 5 ms.
    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
        self.loss_percent = 0;
        self.duplicate_percent = 0;
        self.slow_percent = 0;
        self.delay_max_micros = 5_000;
    }
}
