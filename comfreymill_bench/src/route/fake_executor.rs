use rand::RngExt as _;

use super::Behaviour;
use super::event::Attempt;

const FAILURE_MICROS: u64 = 200;
const FIXED_SHARE: f64 = 0.5;

/// Simulated executor that serves requests in virtual time.
#[derive(Debug)]
pub(super) struct FakeExecutor {
    pub(super) name: String,
    pub(super) region: String,
    pub(super) behaviour: Behaviour,
    pub(super) running: Vec<Attempt>,
    /// Highest number of requests that ran at the same time.
    pub(super) peak: usize,
    served: u32,
}

impl FakeExecutor {
    pub(super) fn new(number: usize, region: &str, behaviour: Behaviour) -> Self {
        Self {
            name: format!("e{number}"),
            region: region.to_owned(),
            behaviour,
            running: Vec::new(),
            peak: 0,
            served: 0,
        }
    }

    /// Starts a request; returns its service time in microseconds and its status.
    pub(super) fn start<R>(
        &mut self,
        now: u64,
        attempt: Attempt,
        mean: f64,
        rng: &mut R,
    ) -> (u64, u16)
    where
        R: rand::Rng,
    {
        self.running.push(attempt);
        self.peak = self.peak.max(self.running.len());
        self.served += 1;
        if self.behaviour.is_failing(now) {
            return (FAILURE_MICROS, 500);
        }
        let spread = -(1.0 - rng.random_range(0.0..1.0_f64)).ln();
        let share = FIXED_SHARE + (1.0 - FIXED_SHARE) * spread;
        ((mean * share * self.slowdown(now)) as u64, 200)
    }

    /// Ends a request, and returns whether it was running.
    pub(super) fn end(&mut self, attempt: Attempt) -> bool {
        let position = self.running.iter().position(|running| *running == attempt);
        position.map(|position| self.running.swap_remove(position)).is_some()
    }

    fn slowdown(&self, now: u64) -> f64 {
        match self.behaviour {
            Behaviour::SlowFrom { at, factor } if now >= at => factor,
            Behaviour::ColdFrom { requests, factor, .. } if self.served <= requests => {
                1.0 + (factor - 1.0) * self.running.len() as f64 / 8.0
            }
            _ => 1.0,
        }
    }
}
