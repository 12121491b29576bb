use std::collections::BTreeMap;
use std::time::Duration;

use comfreymill_types::time;

use super::interference::{FillerShares, ImageId};
use super::run::{RunEntry, RunPhase, UNKNOWN_PACE};
use super::worker::WorkerEntry;
use super::{Order, Scheduler};
use crate::id;
use crate::job;

/// Minimum time between changes of pace on a worker; the load that workers report covers 500 ms.
const PACE_PERIOD: Duration = Duration::from_millis(500);
/// Slack to which serving tasks are steered; the excess over 1 is a margin for variations in load
/// until the next change of pace.
const STEERED_SLACK: f64 = 1.35;
/// Part of a task's deviation from the level of its job that is expected to last until the next
/// change of pace; deviations last about a second.
const DEVIATION_PERSISTENCE: f64 = 0.5;
/// Minimum effect of a filler image that is slowed down; slowing down others gains next to nothing.
const MIN_SLOWED_EFFECT: f64 = 1.5;
/// Minimum change of pace that is worth an order, in percentage points.
const MIN_PACE_CHANGE: u32 = 15;
/// Maximum increase of a pace in one order, in percentage points.
const MAX_PACE_INCREASE: u32 = 30;
/// Time for which a tail latency may exceed its target before all fillers on the worker are paused,
/// regardless of the learned effects.
const MAX_TIME_OVER_TARGET: Duration = Duration::from_millis(1_500);

/// Pace, in percent, below which a filler should move to another worker.
const MOVE_BELOW_PERCENT: u32 = 40;
/// Time below that pace after which a filler is moved.
const MOVE_AFTER: Duration = Duration::from_millis(1_000);

/// Reported tail latency, in percent of the target, from which the target may be exceeded.
const NEAR_TARGET_PERCENT: u64 = 90;

/// Slack of a serving task, from the tail latency that it reported.
struct SlackSample {
    task: id::TaskId,
    image: ImageId,
    slack: f64,
}

/// # Pace of fillers beside serving tasks
impl Scheduler {
    /// Learns from a worker's report, slows down fillers that bring a tail latency near its target,
    /// and speeds them up again when there is room.
    pub(super) fn pace(&mut self, now: time::Monotonic, number: id::WorkerNumber) {
        let Some(entry) = self.workers.get_mut(&number) else { return };
        // Without serving tasks, reports teach nothing about headroom.
        if !entry.serving.is_empty() {
            entry.forget_headroom();
        }
        let Some(entry) = self.workers.get(&number) else { return };
        let samples = self.slack_samples(entry);
        let shares = self.filler_shares(entry);
        for sample in &samples {
            let job = sample.task.step.job;
            self.interference.observe(now, job, sample.image, sample.slack, &shares);
        }
        self.update_deviations(number, &samples, &shares);
        let is_over_for_long = self.update_over_target(now, number);
        let Some(entry) = self.workers.get(&number) else { return };
        if entry.fillers == 0 || now.since(entry.paced_at) < PACE_PERIOD {
            return;
        }
        self.compute_headroom_of(number);
        let Some(entry) = self.workers.get(&number) else { return };
        let paces = self.target_paces(entry);
        let mut orders = Vec::new();
        for (task, run) in &entry.runs {
            if run.kind != job::StepKind::Filler || !matches!(run.phase, RunPhase::Running { .. }) {
                continue;
            }
            let target = paces.get(&run.image).copied().unwrap_or(100);
            let target = if is_over_for_long { 0 } else { target };
            let target = target.min(run.pace.saturating_add(MAX_PACE_INCREASE));
            if run.pace == UNKNOWN_PACE || is_significant(run.pace, target) {
                orders.push((*task, run.run, run.pace, target));
            }
        }
        self.order_paces(now, number, orders);
        self.move_slowed(now, number);
    }

    fn order_paces(
        &mut self,
        now: time::Monotonic,
        number: id::WorkerNumber,
        orders: Vec<(id::TaskId, id::Run, u32, u32)>,
    ) {
        let Some(entry) = self.workers.get_mut(&number) else { return };
        if !orders.is_empty() {
            entry.paced_at = now;
        }
        for (task, run, from, to) in orders {
            log::info!(target: "pace", task:% = task, run:% = run, worker:% = entry.replicated.announced.name, from, to; "a filler changes its pace");
            entry.set_pace(task, to);
            if let Some(run) = entry.runs.get_mut(&task) {
                run.slowed_since =
                    (to < MOVE_BELOW_PERCENT).then(|| run.slowed_since.unwrap_or(now));
            }
            self.orders.push(Order::Pace { worker: number, task, run, percent: to });
            self.needs_placement = true;
        }
    }

    /// Stops fillers that have been slow for long if they can resume from a checkpoint on another
    /// worker without slowing down serving tasks.
    fn move_slowed(&mut self, now: time::Monotonic, number: id::WorkerNumber) {
        let Some(entry) = self.workers.get(&number) else { return };
        let slow = entry.runs.iter().filter(|(_, run)| {
            run.slowed_since.is_some_and(|since| now.since(since) >= MOVE_AFTER)
                && matches!(run.phase, RunPhase::Running { .. })
        });
        let slow: Vec<id::TaskId> = slow.map(|(task, _)| *task).collect();
        for task in slow {
            let Some(spec) = self.step_spec(task.step).cloned() else { continue };
            let image = self.interference.intern(spec.image.as_deref());
            if spec.has_checkpoints
                && self.has_worker_with_headroom(now, number, task, &spec, image)
            {
                self.stop(now, number, task);
            }
        }
    }

    /// Computes the headroom of all workers for which it is unknown: those that have changed.
    pub(super) fn compute_headroom(&mut self) {
        for number in self.workers.take_unknown_headroom() {
            self.steps += 1;
            self.compute_headroom_of(number);
        }
    }

    /// Computes the headroom of a worker.
    fn compute_headroom_of(&mut self, number: id::WorkerNumber) {
        let Some(entry) = self.workers.get(&number) else { return };
        let full = self.full_speed_shares(entry);
        let mut levels: BTreeMap<ImageId, f64> = BTreeMap::new();
        let serving = entry.runs.iter().filter(|(_, run)| run.kind == job::StepKind::Serving);
        for (task, run) in serving {
            let Some(level) = self.interference.level(task.step.job) else { continue };
            let level = level + run.deviation.min(0.0) * DEVIATION_PERSISTENCE;
            let lowest = levels.entry(run.image).or_insert(level);
            *lowest = lowest.min(level);
        }
        let headroom = levels.iter().map(|(image, level)| {
            let loss = self.interference.loss(*image, &full);
            (*image, level - loss - STEERED_SLACK)
        });
        let headroom = headroom.collect();
        self.workers.set_headroom(number, headroom);
    }

    /// Updates by how much the slack of each serving task differs from what the level of its job and
    /// the fillers beside it explain.
    fn update_deviations(
        &mut self,
        number: id::WorkerNumber,
        samples: &[SlackSample],
        shares: &FillerShares,
    ) {
        let Some(entry) = self.workers.get_mut(&number) else { return };
        for sample in samples {
            let Some(level) = self.interference.level(sample.task.step.job) else { continue };
            let Some(run) = entry.runs.get_mut(&sample.task) else { continue };
            let alone = sample.slack + self.interference.loss(sample.image, shares);
            run.deviation = alone - level;
        }
    }

    /// Updates which tasks exceed their targets; returns whether one may have done so for
    /// `MAX_TIME_OVER_TARGET`.
    fn update_over_target(&mut self, now: time::Monotonic, number: id::WorkerNumber) -> bool {
        let Some(entry) = self.workers.get_mut(&number) else { return false };
        let mut is_over_for_long = false;
        let mut has_tail_over_target = false;
        for run in entry.runs.values_mut() {
            let Some(target) = run.tail_target_ms else { continue };
            has_tail_over_target |= run.load.is_some_and(|tail| tail >= target);
            // Reports are rough: a tail that stays slightly over its target is also reported below.
            let is_near = run.load.is_some_and(|tail| {
                u64::from(tail) * 100 >= u64::from(target) * NEAR_TARGET_PERCENT
            });
            run.over_since = if is_near { run.over_since.or(Some(now)) } else { None };
            is_over_for_long |=
                run.over_since.is_some_and(|since| now.since(since) >= MAX_TIME_OVER_TARGET);
        }
        entry.set_tail_over_target(has_tail_over_target);
        is_over_for_long
    }

    /// Handles the answer to a pace order; a pace that was not accepted is ordered again.
    pub(super) fn pace_answered(
        &mut self,
        number: id::WorkerNumber,
        task: id::TaskId,
        run: id::Run,
        is_accepted: bool,
    ) {
        let Some(entry) = self.workers.get_mut(&number) else { return };
        if !is_accepted && entry.runs.get(&task).is_some_and(|entry| entry.run == run) {
            entry.set_pace(task, UNKNOWN_PACE);
        }
    }

    /// Returns the shares of a worker's processors that fillers use, by image.
    pub(super) fn filler_shares(&self, entry: &WorkerEntry) -> FillerShares {
        filler_shares_of(entry, |run| run.load)
    }

    /// Returns the slack of the serving tasks on a worker that reported their tail latencies.
    fn slack_samples(&self, entry: &WorkerEntry) -> Vec<SlackSample> {
        let mut samples = Vec::new();
        for (task, run) in &entry.runs {
            let (Some(target), Some(tail)) = (run.tail_target_ms, run.load) else { continue };
            if tail > 0 && run.kind == job::StepKind::Serving {
                let slack = f64::from(target) / f64::from(tail);
                samples.push(SlackSample { task: *task, image: run.image, slack });
            }
        }
        samples
    }

    /// Returns the shares of a worker's processors that its fillers would use at full speed, by
    /// image.
    fn full_speed_shares(&self, entry: &WorkerEntry) -> FillerShares {
        filler_shares_of(entry, |run| Some(run.cpu_milli))
    }

    /// Returns the paces of fillers in percent, by image, at which no slack is below
    /// `STEERED_SLACK`. The images with the largest effects are slowed down first, which costs the
    /// least work.
    fn target_paces(&self, entry: &WorkerEntry) -> BTreeMap<ImageId, u32> {
        let full = self.full_speed_shares(entry);
        let mut paces = BTreeMap::new();
        for (image, headroom) in entry.headroom.iter().flatten() {
            let effect = |filler: &ImageId| self.interference.effect(*image, *filler);
            let mut fillers: Vec<(ImageId, f64, f64)> =
                full.iter().map(|(filler, share)| (*filler, effect(filler), *share)).collect();
            fillers.sort_by(|a, b| b.1.total_cmp(&a.1));
            // The headroom already excludes the loss caused by the fillers at full speed.
            let mut missing = -headroom;
            for (filler, effect, share) in fillers {
                let loss = effect * share;
                if missing <= 0.0 || effect < MIN_SLOWED_EFFECT || loss <= 0.0 {
                    break;
                }
                let saved = missing.min(loss);
                missing -= saved;
                let pace = ((1.0 - saved / loss) * 100.0) as u32;
                let pace = if pace < MIN_PACE_CHANGE { 0 } else { pace };
                let lowest = paces.entry(filler).or_insert(100);
                *lowest = pace.min(*lowest);
            }
        }
        paces
    }
}

/// Returns whether a change of pace is worth an order.
fn is_significant(from: u32, to: u32) -> bool {
    to.abs_diff(from) >= MIN_PACE_CHANGE || (to != from && (to == 0 || to == 100))
}

/// Returns the fillers' shares of a worker's processors, by image; `cpu_milli` returns the
/// processor time that a run counts for.
fn filler_shares_of<F>(entry: &WorkerEntry, cpu_milli: F) -> FillerShares
where
    F: Fn(&RunEntry) -> Option<u32>,
{
    let mut shares = FillerShares::new();
    for run in entry.runs.values().filter(|run| run.kind == job::StepKind::Filler) {
        let Some(cpu_milli) = cpu_milli(run) else { continue };
        *shares.entry(run.image).or_default() += entry.share(cpu_milli);
    }
    shares
}
