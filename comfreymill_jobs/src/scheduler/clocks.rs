use super::Scheduler;
use super::clock_reading::ClockReading;
use super::worker_clock::{ReadingOutcome, WorkerClock};
use crate::id;

/// Highest reading that is used: a steady clock counts from the start of its machine or later, and no
/// machine runs for a century.
const MAX_CLOCK_MS: u64 = 100 * 366 * 24 * 3_600 * 1_000;

/// # Clocks of workers
///
/// Leases end on the workers' clocks, so a reading that is too high gives a lease that is too long.
/// Only answers to this leader's orders are read: the clock was read between the order and its
/// answer. Anyone can send an announcement.
impl Scheduler {
    /// Handles a reading of a worker's clock in its answer to an order; returns what became of it, if
    /// there was one to compare it with.
    pub(super) fn read_clock(
        &mut self,
        number: id::WorkerNumber,
        reading: ClockReading,
    ) -> Option<ReadingOutcome> {
        let ClockReading { clock_ms, received_at, .. } = reading;
        let cfg = self.cfg;
        let entry = self.workers.get_mut(&number)?;
        let name = &entry.replicated.announced.name;
        if clock_ms > MAX_CLOCK_MS {
            log::warn!(target: "workers", worker:% = name, number:% = number, clock_ms; "a reading of a worker's clock is not used: it is too high for any clock");
            return None;
        }
        let Some(clock) = &mut entry.clock else {
            entry.clock = Some(WorkerClock::new(reading));
            return None;
        };
        let (before, was_doubtful) = (clock.reading.clock_ms, clock.is_doubtful());
        let outcome = clock.update(&cfg, reading);
        match outcome {
            ReadingOutcome::Used => {}
            ReadingOutcome::Doubted => {
                if !was_doubtful {
                    log::warn!(target: "workers", worker:% = name, number:% = number, clock_ms, before; "a reading of a worker's clock is not used: it contradicts the earlier ones");
                }
            }
            ReadingOutcome::Replaced => {
                log::warn!(target: "workers", worker:% = name, number:% = number, clock_ms, before; "the readings of a worker's clock contradict the earlier ones, which are dropped");
                // Leases that were granted by a clock that was too high may last longer than
                // intended; the worker itself shortens them.
                let lease_over_at = received_at + cfg.max_leader_time(cfg.get_max_lease());
                entry.lease_over_at = entry.lease_over_at.max(lease_over_at);
            }
        }
        Some(outcome)
    }
}
