use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::time;

use super::Scheduler;
use crate::action;
use crate::config;
use crate::event;
use crate::fleet;
use crate::task;

/// Steps of throttling, in percent of full speed.
const SPEED_PERCENTS: [u8; 3] = [100, 50, 25];
/// Unsaved run time, in seconds, that adds the class's price once more to that of an eviction.
const SECONDS_PER_PRICE: f64 = 60.0;
/// Added slowdown below which no task is throttled or evicted.
const MIN_EFFECT: f64 = 0.01;
/// Fraction of the average run time above which a task counts as nearly done.
const NEARLY_DONE_FRACTION: f64 = 0.8;
/// Factor on the eviction price of a task that is nearly done.
const NEARLY_DONE_FACTOR: f64 = 3.0;

/// # Slow prompt services
impl Scheduler {
    pub(super) fn on_latency(&mut self, report: &event::LatencyReport) {
        let Some(index) = self.fleet.find(&report.worker) else { return };
        let service = self.model.intern(&report.service);
        let age = report.age.as_micros() as u64;
        let measured_at = time::Monotonic::from_micros(self.now.as_micros().saturating_sub(age));
        let worker = self.fleet.get(index);
        if !worker.services.iter().any(|load| load.service == service) {
            return;
        }
        let mix = worker.mixes.at(measured_at);
        let slowdown = self.model.observe(service, report.p99.as_micros() as f64, mix);
        let bounds = self.get_bounds();
        let now = self.now;
        let worker = self.fleet.get_mut(index);
        if let Some(load) = worker.services.iter_mut().find(|load| load.service == service) {
            load.slowdown = slowdown;
        }
        let worst = worker.services.iter().map(|load| load.slowdown).fold(1.0, f64::max);
        let step = worker.pressure.observe(worst, measured_at, now, &bounds);
        match self.cfg.get_policy() {
            config::Policy::FirstFit | config::Policy::BestFit => {}
            config::Policy::EvictImmediately => {
                if slowdown > bounds.upper {
                    self.evict_largest(index);
                }
            }
            config::Policy::InterferenceAware => match step {
                fleet::Step::Keep => {}
                fleet::Step::Raise => self.raise(index, worst, &bounds),
                fleet::Step::Relax => self.relax(index, &bounds),
            },
        }
    }

    /// Returns the hysteresis bounds, scaled to the slowdown that the customer's weights accept.
    fn get_bounds(&self) -> config::Hysteresis {
        let cfg = self.cfg.get_hysteresis();
        if self.cfg.get_policy() != config::Policy::InterferenceAware {
            return cfg;
        }
        let accepted = self.get_accepted_slowdown();
        let lower_part = (cfg.lower - 1.0) / (cfg.upper - 1.0).max(f64::EPSILON);
        config::Hysteresis { upper: 1.0 + accepted, lower: 1.0 + accepted * lower_part, ..cfg }
    }

    fn evict_largest(&mut self, index: fleet::WorkerIndex) {
        let largest = self
            .fleet
            .get(index)
            .tasks
            .iter()
            .filter_map(|id| self.tasks.get(id))
            .filter(|task| self.is_evictable(task))
            .max_by_key(|task| task.attempt().map(|attempt| attempt.reserved.cores))
            .map(|task| task.id);
        if let Some(id) = largest {
            self.stop(id, action::StopReason::Evicted, "a prompt service is slow");
        }
    }

    /// Throttles the task that disturbs most by one step, or evicts it if it is already at the
    /// lowest speed.
    fn raise(&mut self, index: fleet::WorkerIndex, slowdown: f64, bounds: &config::Hysteresis) {
        let Some((id, effect)) = self.find_most_disturbing(index) else { return };
        if effect < MIN_EFFECT {
            return;
        }
        let Some(attempt) = self.tasks[&id].attempt() else { return };
        let why =
            format!("a prompt service is slowed {slowdown:.2} times, bound {:.2}", bounds.upper);
        let slower = SPEED_PERCENTS
            .into_iter()
            .find(|speed| f64::from(*speed) / 100.0 < attempt.get_speed());
        if let Some(percent) = slower {
            self.throttle(id, action::Percent::new(percent), &why);
        } else if self.is_eviction_worthwhile(id, slowdown, bounds) {
            self.checkpoint_and_stop(id, action::StopReason::Evicted, &why);
        }
        let now = self.now;
        self.fleet.get_mut(index).pressure.record_step(now);
    }

    /// Returns the task with the greatest predicted effect on the worker's worst service. The
    /// effect of urgent tasks counts for a tenth.
    fn find_most_disturbing(&self, index: fleet::WorkerIndex) -> Option<(id::TaskId, f64)> {
        let worker = self.fleet.get(index);
        let worst = worker.services.iter().max_by(|a, b| a.slowdown.total_cmp(&b.slowdown))?;
        worker
            .tasks
            .iter()
            .filter_map(|id| self.tasks.get(id))
            .filter(|task| task.attempt().is_some_and(|a| a.is_started() && !a.is_leaving()))
            .filter_map(|task| {
                let attempt = task.attempt()?;
                let load = worker.get_core_fraction(&attempt.reserved) * attempt.get_speed();
                let effect = self.model.effect(task.class, worst.service, load);
                let priority = self.catalog.class(task.class).get_priority();
                let weight = if priority == Self::URGENT { 0.1 } else { 1.0 };
                Some((task.id, effect * weight))
            })
            .max_by(|a, b| a.1.total_cmp(&b.1).then(b.0.cmp(&a.0)))
    }

    /// Returns whether the gain in latency outweighs the price of the eviction.
    fn is_eviction_worthwhile(
        &self,
        id: id::TaskId,
        slowdown: f64,
        bounds: &config::Hysteresis,
    ) -> bool {
        let task = &self.tasks[&id];
        if !self.is_evictable(task) {
            return false;
        }
        let weights = self.catalog.weights(document::Stage::Production);
        let gain = weights.tail_latency * (slowdown - bounds.upper) / (bounds.upper - 1.0);
        gain > weights.evictions * self.get_eviction_price(task)
    }

    /// Returns the price of an eviction: that of the class, raised by the work that would be lost
    /// and if the task is nearly done.
    pub(super) fn get_eviction_price(&self, task: &task::Task) -> f64 {
        let class = self.catalog.class(task.class);
        let unsaved =
            task.attempt().map_or(0.0, |attempt| attempt.get_unsaved(self.now).as_secs_f64());
        let ran = task.attempt().and_then(|attempt| attempt.running_since);
        let ran = ran.map_or(0.0, |since| self.now.since(since).as_secs_f64());
        let average_run_time =
            class.estimate.get_run_time().map_or(f64::MAX, |span| span.as_secs_f64());
        let nearly_done =
            if ran > NEARLY_DONE_FRACTION * average_run_time { NEARLY_DONE_FACTOR } else { 1.0 };
        class.get_eviction_price() * nearly_done * (1.0 + unsaved / SECONDS_PER_PRICE)
    }

    /// Speeds up the slowest throttled task by one step, if the predicted slowdown stays within
    /// the upper bound.
    fn relax(&mut self, index: fleet::WorkerIndex, bounds: &config::Hysteresis) {
        let worker = self.fleet.get(index);
        let slowest = worker
            .tasks
            .iter()
            .filter_map(|id| self.tasks.get(id))
            .filter_map(|task| {
                let attempt = task.attempt()?;
                matches!(attempt.directive, action::Directive::Throttle(_))
                    .then_some((attempt.get_speed(), task.id))
            })
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let Some((speed, id)) = slowest else { return };
        let faster = SPEED_PERCENTS.into_iter().rev().find(|step| f64::from(*step) / 100.0 > speed);
        let Some(percent) = faster else { return };
        if self.predict_slowdown_at_speed(index, id, f64::from(percent) / 100.0)
            > bounds.upper - 1.0
        {
            return;
        }
        self.throttle(id, action::Percent::new(percent), "the prompt services are fast again");
        let now = self.now;
        self.fleet.get_mut(index).pressure.record_step(now);
    }

    /// Predicts the added slowdown of the worst service if one task ran at `speed`.
    fn predict_slowdown_at_speed(
        &self,
        index: fleet::WorkerIndex,
        id: id::TaskId,
        speed: f64,
    ) -> f64 {
        let worker = self.fleet.get(index);
        let task = &self.tasks[&id];
        let Some(attempt) = task.attempt() else { return 0.0 };
        let more = worker.get_core_fraction(&attempt.reserved) * (speed - attempt.get_speed());
        let services = worker.services.iter().map(|load| {
            let running = worker.mixes.latest();
            let running = running.map_or(0.0, |mix| self.model.predict(load.service, mix));
            running + self.model.effect(task.class, load.service, more)
        });
        services.fold(0.0, f64::max)
    }
}
