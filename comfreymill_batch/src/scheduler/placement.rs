use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::size;

use super::Scheduler;
use crate::action;
use crate::config;
use crate::fleet;
use crate::queue;
use crate::task;

const MAX_PLACEMENTS_PER_EVENT: usize = 256;

/// # Placement
impl Scheduler {
    pub(super) const URGENT: document::Priority = document::Priority::Urgent;

    /// Places waiting tasks in rank order until no lane is ready.
    pub(super) fn place_waiting(&mut self) {
        for _ in 0..MAX_PLACEMENTS_PER_EVENT {
            let Some((lane, id)) = self.next_lane() else { return };
            if let Err(block) = self.place(id) {
                self.block_or_park(lane, id, block);
            }
        }
    }

    /// Returns the ready lane whose head ranks first.
    fn next_lane(&self) -> Option<(queue::LaneIndex, id::TaskId)> {
        let heads = self.queue.ready().filter_map(|(index, lane)| {
            let (order, id, since) = lane.head()?;
            let rank = match self.cfg.get_policy() {
                config::Policy::FirstFit => (0, 0.0, order, id),
                _ => self.get_rank(lane, order, id, since),
            };
            Some((rank, index, id))
        });
        let first = heads.min_by(|a, b| {
            let (a, b) = (&a.0, &b.0);
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then((a.2, a.3).cmp(&(b.2, b.3)))
        });
        first.map(|(_, index, id)| (index, id))
    }

    /// Returns the rank of a lane's head: by priority raised with waiting time, then by the team's
    /// weighted share, then by order of submission.
    fn get_rank(
        &self,
        lane: &queue::Lane,
        order: u64,
        id: id::TaskId,
        since: comfreymill_types::time::Monotonic,
    ) -> (u8, f64, u64, id::TaskId) {
        const URGENT: u8 = 0;
        const HIGHEST_AGED: u128 = 2;
        let base = match self.catalog.class(lane.key.class).get_priority() {
            document::Priority::Urgent => return (URGENT, 0.0, order, id),
            document::Priority::High => 2,
            document::Priority::Normal => 1,
            document::Priority::Low => 0,
        };
        let steps = self.now.since(since).as_micros() / self.cfg.get_ageing().as_micros().max(1);
        let raised = (base + steps).min(HIGHEST_AGED);
        let behind_urgent = (HIGHEST_AGED - raised) as u8 + 1;
        let team = self.catalog.team(lane.key.team);
        (behind_urgent, team.get_weighted_share(self.fleet.get_capacity()), order, id)
    }

    fn place(&mut self, id: id::TaskId) -> Result<(), queue::BlockReason> {
        let task = &self.tasks[&id];
        let class = self.catalog.class(task.class);
        let Some(spec) = class.spec.clone() else { return Err(queue::BlockReason::UnknownClass) };
        let need = self.get_need(task);
        if !self.catalog.team(task.team).has_quota_for(&need) {
            return Err(queue::BlockReason::Quota);
        }
        let (index, reason) = self.choose(id, &spec, &need)?;
        self.start(id, index, reason);
        Ok(())
    }

    /// Handles a lane whose head cannot be placed: parks the head if it can never run, otherwise
    /// blocks the lane, and evicts others if the lane is urgent.
    fn block_or_park(&mut self, lane: queue::LaneIndex, id: id::TaskId, block: queue::BlockReason) {
        if let Some(reason) = self.get_never_fits(id) {
            self.park(id, reason);
            return;
        }
        if block == queue::BlockReason::NoRoom && self.allow_avoided_if_none_left(id) {
            return;
        }
        let urgent =
            self.catalog.class(self.queue.lane(lane).key.class).get_priority() == Self::URGENT;
        self.record_wait(id, block);
        self.queue.block(lane, block);
        let may_preempt = self.cfg.get_policy() != config::Policy::FirstFit;
        if urgent && block == queue::BlockReason::NoRoom && may_preempt {
            self.preempt_for(lane);
        }
    }

    /// Allows a task on the workers it failed on again, if no other allowed worker can hold it.
    fn allow_avoided_if_none_left(&mut self, id: id::TaskId) -> bool {
        let task = &self.tasks[&id];
        if task.avoided.is_empty() {
            return false;
        }
        let Some(spec) = &self.catalog.class(task.class).spec else { return false };
        let declared = self.get_declared(task);
        let left = self.fleet.iter().any(|(index, worker)| {
            self.fleet.is_indexed(index)
                && !task.avoids(&worker.name)
                && worker.is_allowed(&spec.rule)
                && declared.fits_in(&worker.get_largest_room())
        });
        if left {
            return false;
        }
        let task::Phase::Waiting(lane) = task.phase else { return false };
        self.queue.remove(lane, task.order, id);
        if let Some(task) = self.tasks.get_mut(&id) {
            task.avoided.clear();
            task.failed_everywhere = true;
        }
        self.enqueue(id);
        true
    }

    /// Returns the size to reserve: the learned one if the quota allows it and some VM can hold it,
    /// otherwise the declared one.
    pub(super) fn get_need(&self, task: &task::Task) -> size::Resources {
        let declared = self.get_declared(task);
        let class = self.catalog.class(task.class);
        let job = self.jobs.get(&task.id.job).map(|job| &job.estimate);
        let estimate = job.filter(|estimate| estimate.is_known()).unwrap_or(&class.estimate);
        let learned = estimate.size(&declared);
        let Some(spec) = &class.spec else { return declared };
        let quota = self.catalog.team(task.team).quota;
        let within_quota = quota.is_none_or(|quota| learned.fits_in(&quota));
        if within_quota && self.fleet.can_ever_hold(&spec.rule, &learned) {
            learned
        } else {
            declared
        }
    }

    /// Adds an attempt's resources to those of its worker and team, and counts it in its rack.
    pub(super) fn reserve_room(&mut self, id: id::TaskId) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        let team = task.team;
        let Some(attempt) = task.attempt_mut() else { return };
        let (index, reserved) = (attempt.worker, attempt.reserved);
        let worker = self.fleet.get_mut(index);
        attempt.rack = worker.rack.clone();
        if let Some(rack) = &attempt.rack {
            *self.spread.entry((id.job, rack.clone())).or_default() += 1;
        }
        worker.reserved += reserved;
        worker.observed += reserved;
        worker.tasks.insert(id);
        self.catalog.team_mut(team).used += reserved;
        self.refresh_mix(index);
        self.reindex(index);
    }

    /// Releases an attempt's resources. The task is left in a provisional `Delayed` phase, which
    /// the caller must replace.
    pub(super) fn release_room(&mut self, id: id::TaskId) {
        let now = self.now;
        let Some(task) = self.tasks.get_mut(&id) else { return };
        let phase = std::mem::replace(&mut task.phase, task::Phase::Delayed(now));
        let task::Phase::Active(attempt) = phase else {
            task.phase = phase;
            return;
        };
        let team = self.catalog.team_mut(task.team);
        team.used = team.used.saturating_sub(&attempt.reserved);
        self.checkpoints_due.remove(&(attempt.checkpoint_due, id));
        let worker = self.fleet.get_mut(attempt.worker);
        worker.reserved = worker.reserved.saturating_sub(&attempt.reserved);
        worker.observed = worker.observed.saturating_sub(&attempt.observed);
        worker.tasks.remove(&id);
        if let Some(rack) = attempt.rack {
            self.remove_from_rack(id, rack);
        }
        self.refresh_mix(attempt.worker);
        self.reindex(attempt.worker);
    }

    fn remove_from_rack(&mut self, id: id::TaskId, rack: id::RackName) {
        let key = (id.job, rack);
        if let Some(count) = self.spread.get_mut(&key) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.spread.remove(&key);
            }
        }
    }

    /// Uses the freed room on a worker: first for its claim, then for blocked lanes.
    pub(super) fn after_release(&mut self, index: fleet::WorkerIndex) {
        self.serve_claim(index);
        self.retry_lanes(index);
    }

    /// Makes ready the blocked lanes whose tasks may fit into the room on a worker.
    fn retry_lanes(&mut self, index: fleet::WorkerIndex) {
        let room = self.fleet.get(index).get_room();
        let indexed = self.fleet.is_indexed(index);
        let catalog = &self.catalog;
        self.queue.unblock(|key, block| match block {
            queue::BlockReason::NoRoom => {
                let spec = catalog.class(key.class).spec.as_ref();
                let declared = key.declared.or(spec.map(|spec| spec.batch.size));
                indexed && declared.is_some_and(|declared| declared.fits_in(&room))
            }
            queue::BlockReason::Quota => true,
            queue::BlockReason::Interference | queue::BlockReason::UnknownClass => false,
        });
    }

    /// Updates the index after a worker's room, health or silence changed.
    pub(super) fn reindex(&mut self, index: fleet::WorkerIndex) {
        let silence = self.get_silence_limit();
        let was_indexed = self.fleet.is_indexed(index);
        self.fleet.reindex(index, self.now, silence);
        if !was_indexed && self.fleet.is_indexed(index) {
            self.retry_lanes(index);
        }
    }

    /// Updates the mix of classes that runs on a worker from now on.
    pub(super) fn refresh_mix(&mut self, index: fleet::WorkerIndex) {
        let worker = self.fleet.get(index);
        if worker.services.is_empty() {
            return;
        }
        let mut mix = fleet::Mix::default();
        for id in &worker.tasks {
            let Some(task) = self.tasks.get(id) else { continue };
            let Some(attempt) = task.attempt() else { continue };
            mix.add(task.class, worker.get_core_fraction(&attempt.reserved) * attempt.get_speed());
        }
        let now = self.now;
        self.fleet.get_mut(index).mixes.push(now, mix);
    }

    /// Returns why a task can never run with the current fleet and quotas, if so. The fleet counts
    /// only once it is known.
    pub(super) fn get_never_fits(&self, id: id::TaskId) -> Option<action::ParkReason> {
        let task = &self.tasks[&id];
        let spec = self.catalog.class(task.class).spec.as_ref()?;
        let needed = self.get_declared(task);
        if let Some(quota) = self.catalog.team(task.team).quota
            && !needed.fits_in(&quota)
        {
            return Some(action::ParkReason::OverQuota { needed, quota });
        }
        if !self.is_settled() || self.fleet.can_ever_hold(&spec.rule, &needed) {
            return None;
        }
        let largest = self.fleet.nearest_room(&spec.rule, &needed);
        Some(action::ParkReason::NeverFits { needed, largest })
    }
}
