use comfreymill_types::time;

use super::Scheduler;
use crate::id;
use crate::state;

/// Maximum number of workers whose leases are checked in one tick.
const MAX_EXPIRED_LEASES: usize = 32;

/// # Loss of workers
impl Scheduler {
    /// Handles the end of a worker incarnation: none of its runs continues.
    pub(super) fn worker_gone(
        &mut self,
        now: time::Monotonic,
        number: id::WorkerNumber,
        reason: &str,
    ) {
        let Some(entry) = self.workers.get_mut(&number) else { return };
        if entry.is_gone {
            return;
        }
        entry.is_gone = true;
        self.locality.workers_changed();
        log::info!(target: "workers", worker:% = entry.replicated.announced.name, number:% = number, runs = entry.runs.len(), reason = reason; "a worker is lost");
        // Ends that it reported are recorded first, so that finished tasks do not run again.
        if !entry.has_uncommitted_ends {
            self.drop_worker(now, number);
        }
    }

    /// Releases the runs of a worker that is gone, and removes the worker from the log; a crash is
    /// committed first.
    pub(super) fn drop_worker(&mut self, now: time::Monotonic, number: id::WorkerNumber) {
        if let Some(command) = self.crash_command(now, number) {
            let Some(entry) = self.workers.get_mut(&number) else { return };
            if !entry.has_uncommitted_crash {
                entry.has_uncommitted_crash = true;
                self.commands.push(command);
            }
            return;
        }
        self.remember_crash(now, number);
        self.pass_on_unanswered(now, number);
        self.release_all(now, number);
        if let Some(entry) = self.workers.remove(&number) {
            self.former_workers.record(&entry.replicated.announced.name);
            if let Some(sequence) = entry.leaving_since {
                self.departures.record(&entry.replicated.announced, sequence);
            }
        }
        self.commands.push(state::Command::DropWorkers { workers: vec![number] });
    }

    /// Releases the runs of workers whose leases have expired.
    pub(super) fn expire_leases(&mut self, now: time::Monotonic) {
        self.steps += self.workers.refresh(now);
        for number in self.workers.due_leases(now, MAX_EXPIRED_LEASES) {
            self.steps += 1;
            // An extended lease gets its timer when the worker is indexed again.
            let Some(entry) = self.workers.get_mut(&number) else { continue };
            if entry.lease_due_at().is_none_or(|end| now < end) {
                continue;
            }
            log::warn!(target: "workers", worker:% = entry.replicated.announced.name, number:% = number, runs = entry.runs.len(); "a worker's lease has expired");
            entry.is_unresponsive = true;
            entry.keep_lapsed(now);
            self.release_all(now, number);
        }
    }

    pub(super) fn release_all(&mut self, now: time::Monotonic, number: id::WorkerNumber) {
        let Some(entry) = self.workers.get(&number) else { return };
        let tasks: Vec<id::TaskId> = entry.runs.keys().copied().collect();
        for task in tasks {
            self.release(now, number, task);
        }
    }
}
