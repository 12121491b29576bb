use std::time::Duration;

use crate::id;
use crate::worker;

/// Time from the end of a run until another one has begun in its place: the report, the commit of
/// the end, and the start order.
const HANDOVER: Duration = Duration::from_millis(50);
/// Farthest time at which a place is looked for; no wait is that long.
const HORIZON: Duration = Duration::from_secs(4);

/// When places on the workers of a rack are expected to become free. Each booking takes the first
/// place that fits, so that later ones get what is left.
#[derive(Clone, Debug, Default)]
pub struct Forecast {
    workers: Vec<Profile>,
}

/// Expected start of a task, from now on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Opening {
    /// On average.
    pub expected: Duration,
    /// With runs that take longer than expected by their usual deviation.
    pub latest: Duration,
}

#[derive(Clone, Debug)]
struct Profile {
    worker: id::WorkerNumber,
    /// Resources that are free at `from`.
    free: worker::Resources,
    from: Opening,
    /// What becomes free after that, and when.
    ends: Vec<(Opening, worker::Resources)>,
}

impl Forecast {
    /// Adds a worker with the resources that are free now and those of its runs, with the times at
    /// which they end.
    pub fn add_worker<I>(&mut self, worker: id::WorkerNumber, free: worker::Resources, ends: I)
    where
        I: IntoIterator<Item = (Opening, worker::Resources)>,
    {
        let soon = ends.into_iter().filter(|(end, _)| end.expected < HORIZON);
        let mut ends: Vec<_> = soon.collect();
        ends.sort_unstable_by_key(|(end, _)| *end);
        self.workers.push(Profile { worker, free, from: Opening::default(), ends });
    }

    /// Books the first place for a task that takes `duration`, on the workers for which
    /// `is_allowed` holds; returns when it starts, or `None` if no place is in sight.
    pub fn book<F>(
        &mut self,
        needs: &worker::Resources,
        duration: Opening,
        is_allowed: F,
    ) -> Option<Opening>
    where
        F: Fn(id::WorkerNumber) -> bool,
    {
        let allowed = self.workers.iter_mut().filter(|profile| is_allowed(profile.worker));
        let openings = allowed.filter_map(|profile| Some((profile.opening(needs)?, profile)));
        let (opening, profile) = openings.min_by_key(|(opening, _)| *opening)?;
        profile.take(opening, needs, duration);
        Some(opening.after_handover())
    }
}

impl Profile {
    /// Returns when the worker has room for `needs`.
    fn opening(&self, needs: &worker::Resources) -> Option<Opening> {
        let mut free = self.free;
        if free.covers(needs) {
            return Some(self.from);
        }
        let mut at = self.from;
        for (end, resources) in &self.ends {
            free += *resources;
            at = at.max_each(*end);
            if free.covers(needs) {
                return Some(at);
            }
        }
        None
    }

    /// Takes the room at `opening`; what was free before is not offered again.
    fn take(&mut self, opening: Opening, needs: &worker::Resources, duration: Opening) {
        self.from = opening;
        while self.ends.first().is_some_and(|(end, _)| end.expected <= opening.expected) {
            let (_, resources) = self.ends.remove(0);
            self.free += resources;
        }
        self.free = self.free.saturating_sub(needs);
        let end = Opening {
            expected: opening.expected + duration.expected,
            latest: opening.latest + duration.latest,
        };
        if end.expected < HORIZON {
            let index = self.ends.partition_point(|(other, _)| *other <= end);
            self.ends.insert(index, (end, *needs));
        }
    }
}

impl Opening {
    /// Returns the times at which a task begins in the place of one that ends then.
    fn after_handover(self) -> Self {
        if self.expected.is_zero() {
            return self;
        }
        Self { expected: self.expected + HANDOVER, latest: self.latest + HANDOVER }
    }

    /// Returns the later one of each time.
    fn max_each(self, other: Self) -> Self {
        Self { expected: self.expected.max(other.expected), latest: self.latest.max(other.latest) }
    }
}
