use std::time::Duration;

use comfreymill_types::id;
use comfreymill_types::size;

use super::Scheduler;
use crate::action;
use crate::catalog;
use crate::fleet;
use crate::queue;

const SAMPLED_WORKERS: usize = 48;
const MAX_CLAIMS_PER_CALL: usize = 64;
const CLAIM_LIMIT: Duration = Duration::from_secs(15);

/// Set of attempts on one worker whose stop makes enough room.
struct Eviction {
    worker: fleet::WorkerIndex,
    victims: Vec<id::TaskId>,
    price: f64,
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
        let Some(eviction) = cheapest else { return false };
        let until = self.now + CLAIM_LIMIT;
        self.fleet.get_mut(eviction.worker).claim = Some((id, until));
        self.claims.insert(id, eviction.worker);
        self.refile(eviction.worker);
        for victim in eviction.victims {
            let why = format!("the urgent task {id} needs its room");
            self.save_and_stop(victim, action::StopReason::Evicted, &why);
        }
        true
    }

    /// Cheapest attempts first, until `need` fits.
    fn plan_eviction(
        &self,
        id: id::TaskId,
        spec: &catalog::ClassSpec,
        need: &size::Resources,
        index: fleet::WorkerIndex,
    ) -> Option<Eviction> {
        let worker = self.fleet.get(index);
        if self.tasks[&id].avoids(&worker.name) || !need.fits_in(&worker.get_largest_room()) {
            return None;
        }
        let mut choices: Vec<(f64, id::TaskId, size::Resources)> = worker
            .tasks
            .iter()
            .filter_map(|other| self.tasks.get(other))
            .filter(|other| self.is_evictable(other))
            .filter(|other| self.catalog.class(other.class).get_priority() < spec.priority)
            .filter_map(|other| {
                let held = other.attempt()?.reserved;
                Some((self.get_eviction_price(other), other.id, held))
            })
            .collect();
        choices.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let mut room = worker.get_room();
        let mut eviction = Eviction { worker: index, victims: Vec::new(), price: 0.0 };
        for (price, victim, held) in choices {
            if need.fits_in(&room) {
                break;
            }
            room += held;
            eviction.victims.push(victim);
            eviction.price += price;
        }
        need.fits_in(&room).then_some(eviction)
    }

    /// Places the urgent task that room was freed for, if there is enough now.
    pub(super) fn serve_claim(&mut self, index: fleet::WorkerIndex) {
        let worker = self.fleet.get(index);
        let Some((id, _)) = worker.claim else { return };
        let Some(task) = self.tasks.get(&id) else {
            self.release_claim(id);
            return;
        };
        let waits = matches!(task.phase, crate::task::Phase::Waiting(_));
        let need = self.get_need(task);
        let usable = worker.known && worker.is_sound() && !worker.leaving;
        let has_quota = self.catalog.team(task.team).has_quota_for(&need);
        if waits && usable && has_quota && need.fits_in(&worker.get_room()) {
            self.start(id, index, "room was freed there for it".to_owned());
        }
    }

    /// Lets a worker be used for others again.
    pub(super) fn release_claim(&mut self, id: id::TaskId) {
        let Some(index) = self.claims.remove(&id) else { return };
        self.fleet.get_mut(index).claim = None;
        self.refile(index);
    }

    /// Gives up claims that were not served in time, so that their tasks claim anew.
    pub(super) fn expire_claims(&mut self) {
        let now = self.now;
        let expired: Vec<id::TaskId> = self
            .claims
            .iter()
            .filter(|(_, index)| {
                let claim = self.fleet.get(**index).claim;
                claim.is_none_or(|(_, until)| until <= now)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            let index = self.claims[&id];
            self.release_claim(id);
            self.after_release(index);
        }
    }
}
