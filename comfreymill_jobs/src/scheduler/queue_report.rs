//! Periodic log lines on queues: whose tasks wait, how late they are, and who holds the room.

use std::collections::BTreeMap;
use std::time::Duration;

use comfreymill_types::time;

use super::Scheduler;
use super::queue::Lateness;

/// Tasks of a queue, and the room that they hold.
#[derive(Debug, Default)]
struct QueueCounts {
    in_time: usize,
    late: usize,
    useless: usize,
    longest_wait: Duration,
    runs: u64,
    reserved_cpu_milli: u64,
}

/// # Periodic log lines on queues
impl Scheduler {
    /// Logs the tasks of each queue that wait, by whether their jobs can still be completed in time,
    /// and the share of the fleet's processors that the queue's runs reserve.
    pub(super) fn report_queues(&self, now: time::Monotonic) {
        let mut queues: BTreeMap<&str, QueueCounts> = BTreeMap::new();
        for (rank, step) in self.ready.steps() {
            let Some(job) = self.jobs.get(&step.job) else { continue };
            let counts = queues.entry(&job.queue).or_default();
            let waiting = match rank.lateness(now + Duration::from_millis(rank.remaining_ms)) {
                Lateness::InTime => &mut counts.in_time,
                Lateness::Late => &mut counts.late,
                Lateness::Useless => &mut counts.useless,
            };
            let (tasks, began) = self.ready.waiting(step);
            *waiting += tasks;
            counts.longest_wait = counts.longest_wait.max(now.since(began.unwrap_or(now)));
        }
        let mut capacity = 0;
        for worker in self.workers.values() {
            capacity += u64::from(worker.announcement.capacity.cpu_milli);
            for (task, run) in &worker.runs {
                let Some(job) = self.jobs.get(&task.step.job) else { continue };
                let counts = queues.entry(&job.queue).or_default();
                counts.runs += 1;
                counts.reserved_cpu_milli += u64::from(run.reserved.cpu_milli);
            }
        }
        for (name, counts) in queues {
            let queue = self.routes.queue(name);
            let priority = queue.map_or(u32::MAX, |queue| queue.priority);
            let share_percent = counts.reserved_cpu_milli * 100 / u64::max(capacity, 1);
            log::info!(target: "queues", queue = name, is_known = queue.is_some(), priority, in_time = counts.in_time, late = counts.late, useless = counts.useless, longest_wait_ms:% = counts.longest_wait.as_millis(), running = counts.runs, reserved_cpu = counts.reserved_cpu_milli, share_percent; "state of a queue");
        }
    }
}
