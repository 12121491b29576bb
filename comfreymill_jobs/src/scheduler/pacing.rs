use std::collections::BTreeMap;
use std::time::Duration;

use comfreymill_types::time;

use super::interference::Mix;
use super::run::RunPhase;
use super::worker::WorkerEntry;
use super::{Order, Scheduler};
use crate::id;
use crate::job;

/// Least time between changes of pace: the load that workers list covers half a second.
const PACE_PERIOD: Duration = Duration::from_millis(500);
/// Part of its target to which a tail is steered; the rest is for its load, which swings.
const STEERED_PART: f64 = 0.7;
/// Least change of a pace that is worth an order, in percent.
const MIN_CHANGE: u32 = 15;
/// Most by which a pace is raised at once, in percent.
const MAX_RAISE: u32 = 30;
/// Pace of a run whose last order was not taken.
const UNKNOWN_PACE: u32 = u32::MAX;

/// Task that serves, and its tail as a multiple of its target.
struct Served {
    image: String,
    tail: f64,
}

/// # Shares of fillers beside tasks that serve
impl Scheduler {
    /// Learns from a list, slows fillers down that bring a tail near its target, and speeds them
    /// up again.
    pub(super) fn pace(&mut self, now: time::Monotonic, number: id::WorkerNumber) {
        let Some(entry) = self.workers.get(&number) else { return };
        let served = self.served(entry);
        let mix = self.mix(entry);
        if served.is_empty() || mix.is_empty() {
            return;
        }
        for it in &served {
            self.interference.observe(&it.image, it.tail, &mix);
        }
        let Some(entry) = self.workers.get(&number) else { return };
        if now.since(entry.paced_at) < PACE_PERIOD {
            return;
        }
        let mut orders = Vec::new();
        let paces = self.wanted_paces(&served, &mix);
        for (task, run) in &entry.runs {
            let Some(spec) = self.step_spec(task.step) else { continue };
            if spec.kind() != job::StepKind::Filler || !matches!(run.phase, RunPhase::Running { .. }) {
                continue;
            }
            let image = spec.image.as_deref().unwrap_or_default();
            let change = paces.get(image).copied().unwrap_or(1.0);
            let present = if run.pace == UNKNOWN_PACE { 100 } else { run.pace };
            let wanted = wanted_pace(present, change);
            if run.pace == UNKNOWN_PACE || wanted.abs_diff(present) >= MIN_CHANGE || (wanted != present && (wanted == 0 || wanted == 100)) {
                orders.push((*task, run.run, present, wanted));
            }
        }
        if orders.is_empty() {
            return;
        }
        let worst = served.iter().map(|it| it.tail).fold(0.0, f64::max);
        let Some(entry) = self.workers.get_mut(&number) else { return };
        entry.paced_at = now;
        for (task, run, from, to) in orders {
            log::info!(target: "pace", task:% = task, run:% = run, worker:% = entry.known.name, tail_percent = (worst * 100.0) as u64, from, to; "a filler changes its pace");
            if let Some(run) = entry.runs.get_mut(&task) {
                run.pace = to;
            }
            self.orders.push(Order::Pace { worker: number, task, run, percent: to });
        }
    }

    /// Takes in whether a worker took a pace; one that was not taken is ordered again.
    pub(super) fn pace_answered(
        &mut self,
        number: id::WorkerNumber,
        task: id::TaskId,
        run: id::Run,
        is_taken: bool,
    ) {
        let Some(entry) = self.workers.get_mut(&number) else { return };
        let Some(run) = entry.runs.get_mut(&task).filter(|it| it.run == run) else { return };
        if !is_taken {
            run.pace = UNKNOWN_PACE;
        }
    }

    /// Use of a worker by fillers, by image.
    pub(super) fn mix(&self, entry: &WorkerEntry) -> Mix {
        let capacity = entry.announcement.as_ref().map_or(0, |it| it.capacity.cpu_milli);
        let mut mix = Mix::new();
        for (task, run) in &entry.runs {
            let Some(spec) = self.step_spec(task.step) else { continue };
            let Some(load) = run.load.filter(|_| spec.kind() == job::StepKind::Filler) else {
                continue;
            };
            let image = spec.image.clone().unwrap_or_default();
            *mix.entry(image).or_default() += f64::from(load) / f64::from(capacity.max(1));
        }
        mix
    }

    fn served(&self, entry: &WorkerEntry) -> Vec<Served> {
        let mut served = Vec::new();
        for (task, run) in &entry.runs {
            let Some(spec) = self.step_spec(task.step) else { continue };
            let (Some(target), Some(tail)) = (spec.tail_target_ms, run.load) else { continue };
            if tail > 0 && spec.kind() == job::StepKind::Serving {
                let tail = f64::from(tail) / f64::from(target.max(1));
                served.push(Served { image: spec.image.clone().unwrap_or_default(), tail });
            }
        }
        served
    }

    /// Factor for the paces of fillers, by image: below one for those that bring a tail near its
    /// target.
    fn wanted_paces(&self, served: &[Served], mix: &Mix) -> BTreeMap<String, f64> {
        let mut factors: BTreeMap<String, f64> = BTreeMap::new();
        for it in served {
            let pressure = self.interference.pressure(&it.image, mix);
            // What the fillers may add to the tail as it would be without them.
            let allowed = (STEERED_PART / it.tail).ln() + pressure;
            let is_over = it.tail > 1.0;
            for filler in mix.keys() {
                let presses = self.interference.effect(&it.image, filler) > 0.0;
                if !presses && !(is_over && pressure <= f64::EPSILON) {
                    continue;
                }
                let factor = if pressure <= f64::EPSILON {
                    0.5
                } else {
                    (allowed / pressure).clamp(0.0, 10.0)
                };
                let least = factors.entry(filler.clone()).or_insert(10.0);
                *least = least.min(factor);
            }
        }
        // A filler that presses nobody may work at full speed.
        for filler in mix.keys() {
            factors.entry(filler.clone()).or_insert(10.0);
        }
        factors
    }
}

/// Pace after `factor`; it rises step by step, since a filler at rest shows no effect.
fn wanted_pace(present: u32, factor: f64) -> u32 {
    let wanted = (f64::from(present.max(10)) * factor).clamp(0.0, 100.0) as u32;
    let wanted = wanted.min(present + MAX_RAISE);
    if wanted < 10 { 0 } else { wanted }
}
