use comfreymill_types::time;
use std::time::Duration;

use super::clock_reading::ClockReading;
use super::run::RunPhase;
use super::{Answer, Refusal, Scheduler, StartAnswer};
use crate::id;

/// Time for which nothing is placed on a worker that had no room; meanwhile its next report shows
/// what it runs.
const NO_ROOM_BACKOFF: Duration = Duration::from_millis(300);
/// Time for which nothing is placed on a worker that is unhealthy or was not reached.
const UNHEALTHY_BACKOFF: Duration = Duration::from_secs(1);

/// # Answers to orders
impl Scheduler {
    /// Handles the outcome of an order to `worker` that was sent at `asked_at`.
    pub fn answered(
        &mut self,
        now: time::Monotonic,
        worker: id::WorkerNumber,
        asked_at: time::Monotonic,
        answer: Answer,
    ) {
        match answer {
            Answer::Start { task, run, answer, clock_ms } => {
                let outcome = clock_ms.and_then(|clock_ms| {
                    let reading = ClockReading { clock_ms, asked_at, received_at: now };
                    self.read_clock(worker, reading)
                });
                self.start_answered(now, asked_at, worker, (task, run), answer);
                self.check_start_reading(now, worker, task, outcome);
            }
            Answer::Stop { task, run, is_accepted } => {
                self.stop_answered(now, worker, task, run, is_accepted);
            }
            Answer::Pace { task, run, is_accepted } => {
                self.pace_answered(worker, task, run, is_accepted);
            }
            Answer::Poll(answer) => self.poll_answered(now, worker, asked_at, answer),
            Answer::WorkerGone => {
                self.worker_gone(now, worker, "another incarnation answers");
            }
        }
    }

    fn start_answered(
        &mut self,
        now: time::Monotonic,
        asked_at: time::Monotonic,
        worker: id::WorkerNumber,
        (task, number): (id::TaskId, id::Run),
        answer: StartAnswer,
    ) {
        let Some(entry) = self.workers.get_mut(&worker) else { return };
        let Some(run) = entry.runs.get_mut(&task).filter(|run| run.run == number) else { return };
        let name = entry.replicated.announced.name.clone();
        if answer == StartAnswer::Started {
            log::debug!(target: "runs", task:% = task, run:% = number, worker:% = name; "a start was accepted");
        } else {
            log::info!(target: "runs", task:% = task, run:% = number, worker:% = name, answer:? = answer; "a start was not accepted");
        }
        if answer == StartAnswer::Refused(Refusal::Fenced) {
            self.fenced(now, worker);
            return;
        }
        if run.phase != RunPhase::Starting {
            return;
        }
        match answer {
            StartAnswer::Started => {
                run.phase = RunPhase::Running { since: now };
                run.progressed_at = now;
                self.mark_started(task.step.job);
            }
            StartAnswer::Refused(Refusal::Superseded) | StartAnswer::Unknown => {
                run.is_start_uncertain = true;
                entry.order_unanswered(asked_at);
                self.stop(now, worker, task);
            }
            StartAnswer::Refused(_) | StartAnswer::NotSent => {
                let backoff = match answer {
                    StartAnswer::Refused(Refusal::NoRoom) => NO_ROOM_BACKOFF,
                    StartAnswer::Refused(Refusal::LeaseOver) => Duration::ZERO,
                    _ => UNHEALTHY_BACKOFF,
                };
                entry.backoff_until = entry.backoff_until.max(now + backoff);
                entry.next_poll_at = now;
                self.release(now, worker, task);
            }
        }
    }

    /// Handles a refusal by a worker that has seen a higher fencing token: it follows a later leader, or
    /// it is the next incarnation, which this leader has registered under a raised token.
    pub(super) fn fenced(&mut self, now: time::Monotonic, worker: id::WorkerNumber) {
        if self.has_later_incarnation(worker) {
            self.poll_failed(now, worker, "its next incarnation refuses the order");
            return;
        }
        if !self.is_fenced {
            log::warn!(target: "schedule", fence:% = self.fence, worker:% = worker; "a worker follows a later leader: this leader gives no more orders");
        }
        self.is_fenced = true;
    }
}
