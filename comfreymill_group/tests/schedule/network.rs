use comfreymill_group::{id, message};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Messages under way, and what the network does to them.
#[derive(Debug, Default)]
pub(crate) struct Network {
    /// By time of arrival in microseconds, then by order of sending.
    under_way: BTreeMap<(u64, u64), (id::VoterId, id::VoterId, message::Message)>,
    sent: u64,
    /// Directions in which nothing passes.
    pub(crate) cuts: BTreeSet<(id::VoterId, id::VoterId)>,
    pub(crate) loss_percent: u32,
    pub(crate) duplicate_percent: u32,
    pub(crate) slow_percent: u32,
    pub(crate) delay_max_micros: u64,
}

impl Network {
    /// Sends a message, with the network's faults.
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
        let copies = if rng.random_range(0..100) < self.duplicate_percent { 2 } else { 1 };
        for _ in 0..copies {
            let mut delay = rng.random_range(100..=self.delay_max_micros.max(200));
            if rng.random_range(0..100) < self.slow_percent {
                delay += rng.random_range(0..1_500_000);
            }
            self.sent += 1;
            self.under_way.insert((now + delay, self.sent), (from, to, message.clone()));
        }
    }

    /// Next message that has arrived by `now`.
    pub(crate) fn arrived(
        &mut self,
        now: u64,
    ) -> Option<(u64, id::VoterId, id::VoterId, message::Message)> {
        let entry = self.under_way.first_entry()?;
        let at = entry.key().0;
        if at > now {
            return None;
        }
        let (from, to, message) = entry.remove();
        Some((at, from, to, message))
    }

    /// Keeps a message back until `at`.
    pub(crate) fn defer(
        &mut self,
        at: u64,
        from: id::VoterId,
        to: id::VoterId,
        message: message::Message,
    ) {
        self.sent += 1;
        self.under_way.insert((at, self.sent), (from, to, message));
    }

    /// Lets everything pass, quickly.
    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
        self.loss_percent = 0;
        self.duplicate_percent = 0;
        self.slow_percent = 0;
        self.delay_max_micros = 5_000;
    }
}
