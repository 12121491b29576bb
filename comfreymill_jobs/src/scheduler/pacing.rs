use std::time::Duration;

use comfreymill_types::time;

use super::run::RunPhase;
use super::{Order, Scheduler};
use crate::id;
use crate::job;

/// Least time between changes of pace: the load that workers list covers half a second.
const PACE_PERIOD: Duration = Duration::from_millis(500);
/// Tail, as a share of its target in percent, from which on fillers are slowed down.
const SLOW_DOWN_PERCENT: u32 = 90;
/// Tail, as a share of its target in percent, below which fillers are sped up.
const SPEED_UP_PERCENT: u32 = 60;
/// Step in percent by which fillers are sped up.
const SPEED_UP_STEP: u32 = 25;

/// Pace of a run whose last order was not taken.
const UNKNOWN_PACE: u32 = u32::MAX;

/// # Shares of fillers beside tasks that serve
impl Scheduler {
    /// Slows fillers down where a task that serves nears its target, and speeds them up again.
    pub(super) fn pace(&mut self, now: time::Monotonic, number: id::WorkerNumber) {
        let Some(entry) = self.workers.get(&number) else { return };
        if now.since(entry.paced_at) < PACE_PERIOD {
            return;
        }
        let mut worst = 0;
        let mut fillers = Vec::new();
        for (task, run) in &entry.runs {
            let Some(spec) = self.step_spec(task.step) else { continue };
            match (spec.kind(), run.load, spec.tail_target_ms) {
                (job::StepKind::Serving, Some(tail), Some(target)) => {
                    worst = worst.max(tail.saturating_mul(100) / target.max(1));
                }
                (job::StepKind::Filler, _, _) => fillers.push(*task),
                _ => {}
            }
        }
        let pace = entry.filler_pace;
        let next = if worst >= 150 {
            0
        } else if worst >= SLOW_DOWN_PERCENT {
            pace / 2
        } else if worst < SPEED_UP_PERCENT {
            (pace + SPEED_UP_STEP).min(100)
        } else {
            pace
        };
        let is_unknown = fillers.iter().any(|task| entry.runs[task].pace == UNKNOWN_PACE);
        if next == pace && !is_unknown {
            return;
        }
        let Some(entry) = self.workers.get_mut(&number) else { return };
        log::info!(target: "pace", worker:% = entry.known.name, number:% = number, tail_percent = worst, from = pace, to = next, fillers = fillers.len(); "fillers change their pace");
        entry.filler_pace = next;
        entry.paced_at = now;
        for task in fillers {
            let Some(run) = entry.runs.get_mut(&task) else { continue };
            if matches!(run.phase, RunPhase::Running { .. }) && run.pace != next {
                run.pace = next;
                let order = Order::Pace { worker: number, task, run: run.run, percent: next };
                self.orders.push(order);
            }
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
}
