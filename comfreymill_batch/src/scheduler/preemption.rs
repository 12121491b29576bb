use std::time::Duration;

use comfreymill_types::id;
use comfreymill_types::size;

use super::Scheduler;
use crate::action;
use crate::catalog;
use crate::fleet;
use crate::queue;
use crate::task;

const SAMPLED_WORKERS: usize = 48;
const MAX_CLAIMS_PER_CALL: usize = 64;
/// Unsaved run time below which a victim is stopped without a checkpoint.
const NEGLIGIBLE_WORK: Duration = Duration::from_secs(5);
/// Time after which an urgent task gives up waiting for room on one worker.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(15);

/// Set of attempts on one worker that frees enough room if they are stopped.
struct EvictionPlan {
    worker: fleet::WorkerIndex,
    victims: Vec<id::TaskId>,
    price: f64,
}

/// Attempt that could be evicted to free room.
struct Candidate {
    price: f64,
    task: id::TaskId,
    reserved: size::Resources,
    observed: size::Resources,
}

/// # Room for urgent tasks
impl Scheduler {
    /// Frees room for the urgent tasks of a lane, one worker for each.
    pub(super) fn preempt_for(&mut self, lane: queue::LaneIndex) {
        let waiting: Vec<id::TaskId> = self
            .queue
            .lane(lane)
            .tasks
            .keys()
            .map(|(_, id)| *id)
            .filter(|id| !self.claims.contains_key(id))
            .take(MAX_CLAIMS_PER_CALL)
            .collect();
        for id in waiting {
            if !self.preempt(id) {
                return;
            }
        }
    }

    fn preempt(&mut self, id: id::TaskId) -> bool {
        let task = &self.tasks[&id];
        let Some(spec) = self.catalog.class(task.class).spec.clone() else { return false };
        let need = self.get_need(task);
        let sampled = self.fleet.sample(&spec.rule, SAMPLED_WORKERS, &mut self.rng);
        let cheapest = sampled
            .into_iter()
            .filter_map(|index| self.plan_eviction(id, &spec, &need, index))
            .min_by(|a, b| a.price.total_cmp(&b.price).then(a.worker.cmp(&b.worker)));
        let Some(plan) = cheapest else { return false };
        let until = self.now + CLAIM_TIMEOUT;
        self.fleet.get_mut(plan.worker).claim = Some((id, until));
        self.claims.insert(id, plan.worker);
        self.reindex(plan.worker);
        for victim in plan.victims {
            let why = format!("the urgent task {id} needs its room");
            if self.get_unsaved(victim) < NEGLIGIBLE_WORK {
                self.stop(victim, action::StopReason::Evicted, &why);
            } else {
                self.checkpoint_and_stop(victim, action::StopReason::Evicted, &why);
            }
        }
        true
    }

    fn get_unsaved(&self, id: id::TaskId) -> Duration {
        let attempt = self.tasks.get(&id).and_then(task::Task::attempt);
        attempt.map_or(Duration::ZERO, |attempt| attempt.get_unsaved(self.now))
    }

    /// Plans to evict the cheapest attempts on a worker until `need` fits.
    fn plan_eviction(
        &self,
        id: id::TaskId,
        spec: &catalog::ClassSpec,
        need: &size::Resources,
        index: fleet::WorkerIndex,
    ) -> Option<EvictionPlan> {
        let worker = self.fleet.get(index);
        if self.tasks[&id].avoids(&worker.name) || !need.fits_in(&worker.get_largest_room()) {
            return None;
        }
        let mut candidates: Vec<Candidate> = worker
            .tasks
            .iter()
            .filter_map(|other| self.tasks.get(other))
            .filter(|other| self.is_evictable(other))
            .filter(|other| self.catalog.class(other.class).get_priority() < spec.priority)
            .filter_map(|other| {
                let attempt = other.attempt()?;
                let price = self.get_eviction_price(other);
                let (reserved, observed) = (attempt.reserved, attempt.observed);
                Some(Candidate { price, task: other.id, reserved, observed })
            })
            .collect();
        candidates.sort_by(|a, b| a.price.total_cmp(&b.price).then(a.task.cmp(&b.task)));
        let mut chosen: Vec<&Candidate> = Vec::new();
        for candidate in &candidates {
            if need.fits_in(&room_without(worker, &chosen)) {
                break;
            }
            chosen.push(candidate);
        }
        if !need.fits_in(&room_without(worker, &chosen)) {
            return None;
        }
        remove_redundant(worker, need, &mut chosen);
        let price = chosen.iter().map(|candidate| candidate.price).sum();
        let victims = chosen.iter().map(|candidate| candidate.task).collect();
        Some(EvictionPlan { worker: index, victims, price })
    }

    /// Places the urgent task for which room was freed, if it fits now. Releases the claim when no
    /// more room is being freed there, so that the task can claim room elsewhere.
    pub(super) fn serve_claim(&mut self, index: fleet::WorkerIndex) {
        let worker = self.fleet.get(index);
        let Some((id, until)) = worker.claim else { return };
        let Some(task) = self.tasks.get(&id) else {
            self.release_claim(id);
            return;
        };
        let waits = matches!(task.phase, task::Phase::Waiting(_));
        let need = self.get_need(task);
        let silent = self.now.since(worker.last_heartbeat_at) > self.get_silence_limit();
        let usable = worker.has_reported && worker.is_healthy() && !worker.leaving && !silent;
        let has_quota = self.catalog.team(task.team).has_quota_for(&need);
        if waits && usable && has_quota && need.fits_in(&worker.get_room()) {
            self.start(id, index, "room was freed there for it".to_owned());
            return;
        }
        let frees_more = worker.tasks.iter().any(|other| self.is_leaving(*other));
        if !usable || !frees_more || until <= self.now {
            self.release_claim(id);
            self.retry_lane_of(id);
        }
    }

    fn is_leaving(&self, id: id::TaskId) -> bool {
        let attempt = self.tasks.get(&id).and_then(task::Task::attempt);
        attempt.is_some_and(task::Attempt::is_leaving)
    }

    fn retry_lane_of(&mut self, id: id::TaskId) {
        if let Some(task::Phase::Waiting(lane)) = self.tasks.get(&id).map(|task| &task.phase) {
            self.queue.retry(*lane);
        }
    }

    /// Releases the claim of a task, so that its worker can be given other tasks again.
    pub(super) fn release_claim(&mut self, id: id::TaskId) {
        let Some(index) = self.claims.remove(&id) else { return };
        self.fleet.get_mut(index).claim = None;
        self.reindex(index);
    }

    /// Serves or releases every claim.
    pub(super) fn check_claims(&mut self) {
        let claimed: Vec<fleet::WorkerIndex> = self.claims.values().copied().collect();
        for index in claimed {
            self.serve_claim(index);
        }
    }
}

/// Returns the room on a worker once the chosen attempts are gone.
fn room_without(worker: &fleet::Worker, chosen: &[&Candidate]) -> size::Resources {
    let sum = |amount: fn(&Candidate) -> size::Resources| {
        chosen.iter().fold(size::Resources::ZERO, |sum, candidate| sum + amount(candidate))
    };
    let reserved = worker.reserved.saturating_sub(&sum(|candidate| candidate.reserved));
    let observed = worker.observed.saturating_sub(&sum(|candidate| candidate.observed));
    let used = (worker.executors + reserved).max(&observed);
    worker.capacity.saturating_sub(&used)
}

/// Removes the attempts, cheapest first, without which `need` still fits.
fn remove_redundant(worker: &fleet::Worker, need: &size::Resources, chosen: &mut Vec<&Candidate>) {
    let mut i = 0;
    while i < chosen.len() {
        let mut without = chosen.clone();
        without.remove(i);
        if need.fits_in(&room_without(worker, &without)) {
            *chosen = without;
        } else {
            i += 1;
        }
    }
}
