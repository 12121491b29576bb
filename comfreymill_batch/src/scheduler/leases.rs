use std::time::Duration;

use comfreymill_types::id;

use super::Scheduler;
use crate::action;
use crate::event;
use crate::fleet;

const SCAN_PERIOD: Duration = Duration::from_millis(250);
/// Silence after which a worker no longer counts among those that could ever hold a task.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// # Time
impl Scheduler {
    pub(super) fn on_tick(&mut self) {
        self.enqueue_due();
        self.expire_checkpoints();
        if self.now.since(self.scanned_at) < SCAN_PERIOD {
            return;
        }
        self.scanned_at = self.now;
        self.scan_workers();
        self.end_settling();
        self.check_claims();
        self.probe_suspended();
        self.unpark_fitting();
        self.queue.unblock(|_, block| block == crate::queue::BlockReason::Interference);
    }

    /// Ends the attempts whose lease expired, and excludes silent workers from placement.
    fn scan_workers(&mut self) {
        let silence = self.get_silence_limit();
        let bound = self.cfg.get_lease_bound();
        let silent: Vec<(fleet::WorkerIndex, Duration)> = self
            .fleet
            .iter()
            .map(|(index, worker)| (index, self.now.since(worker.last_heartbeat_at)))
            .filter(|(_, silent_for)| *silent_for > silence)
            .collect();
        for (index, silent_for) in silent {
            self.reindex(index);
            self.retract_unoffered(index);
            if silent_for > bound {
                self.expire_leases(index);
            }
            if silent_for > FORGET_AFTER {
                self.fleet.remove_shape(index);
            }
        }
    }

    /// Ends the attempts of a silent worker that were never listed in an answer.
    fn retract_unoffered(&mut self, index: fleet::WorkerIndex) {
        let unoffered: Vec<id::TaskId> = self
            .fleet
            .get(index)
            .tasks
            .iter()
            .filter_map(|id| self.tasks.get(id)?.attempt())
            .filter(|attempt| attempt.is_started() && !attempt.offered)
            .map(|attempt| attempt.id.task)
            .collect();
        for id in unoffered {
            let progress = event::Progress::NotBegun;
            self.end(id, action::Outcome::Stopped { progress }, None);
        }
    }

    fn expire_leases(&mut self, index: fleet::WorkerIndex) {
        let worker = self.fleet.get(index);
        let expired: Vec<(id::TaskId, bool)> = worker
            .tasks
            .iter()
            .filter_map(|id| self.tasks.get(id)?.attempt())
            .filter(|attempt| attempt.is_started())
            .filter(|attempt| self.now > self.get_lease_end(attempt, worker))
            .map(|attempt| (attempt.id.task, attempt.offered))
            .collect();
        for (id, may_have_begun) in expired {
            self.end(id, action::Outcome::Lost { may_have_begun }, None);
        }
    }
}
