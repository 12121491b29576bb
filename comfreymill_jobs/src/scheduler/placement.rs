//! Placement of ready tasks in bounded turns.
//!
//! Load pattern: a burst leaves thousands of tasks waiting on a full fleet, and each end of a run
//! gives room to one of them. A pass over all of them for each end would keep the leader from its
//! other inputs until it loses its quorum. So a round over the waiting steps, the most urgent first,
//! is spread over turns of bounded work, needs that no worker has room for are searched for once in
//! a round, and rounds over many steps keep a minimum distance. Fillers have rounds of their own,
//! which give way to the others.

use std::sync::Arc;

use comfreymill_types::time;

use super::Scheduler;
use super::locality;
use super::rounds::Tier;
use super::search::Search;
use super::without_room::Kind;
use crate::id;
use crate::job;

/// Steps of work after which a turn ends: waiting steps, workers and tasks looked at.
const MAX_STEPS_PER_TURN: u64 = 2_000;
/// Steps of work that a start counts for: its order is encoded and sent in the same turn.
const STEPS_PER_START: u64 = 20;
/// Waiting steps that are put in order in the time that another step of work takes.
const ORDERED_PER_STEP: u64 = 4;

/// # Placement of ready tasks
impl Scheduler {
    /// Places ready tasks on workers, if anything has changed since the last round; does a bounded
    /// part of the work, see [`Self::has_placement_left`].
    pub fn place(&mut self, now: time::Monotonic) {
        let last_step = self.steps + MAX_STEPS_PER_TURN;
        self.release_unreconciled(now, last_step);
        if self.is_fenced {
            return;
        }
        let begins = self.needs_placement && self.rounds.may_begin(now);
        if begins {
            self.begin_round(now);
        }
        let is_in_progress = begins || self.rounds.get_mut(Tier::Reserving).current().is_some();
        if !self.continue_round(now, Tier::Reserving, last_step) {
            return;
        }
        if is_in_progress {
            self.begin_moves(now);
        }
        if self.rounds.is_filling_due(now) {
            self.rounds.filling_begun();
            self.collect_steps(now, Tier::Filling);
        }
        let before = self.steps;
        self.continue_round(now, Tier::Filling, last_step);
        self.rounds.add_filling_steps(self.steps - before);
    }

    /// Returns whether the last call of [`Self::place`] left work that can be done at once.
    pub fn has_placement_left(&self) -> bool {
        !self.is_fenced && (!self.rounds.are_over() || self.can_release_unreconciled())
    }

    /// Returns whether [`Self::place`] has anything to do: work that was left, or the next round.
    pub fn is_placement_due(&self, now: time::Monotonic) -> bool {
        let is_round_due = self.needs_placement && self.rounds.may_begin(now);
        let is_round_due = is_round_due || self.rounds.is_filling_due(now);
        (!self.is_fenced && is_round_due) || self.has_placement_left()
    }

    fn begin_round(&mut self, now: time::Monotonic) {
        self.needs_placement = false;
        self.placed_at = now;
        self.rounds.begun();
        self.finish_moves(now);
        self.update_packing(now);
        self.hold_workers(now);
        self.locality.round_begins();
        self.collect_steps(now, Tier::Reserving);
    }

    fn collect_steps(&mut self, now: time::Monotonic, tier: Tier) {
        let steps = self.steps_by_lateness(now, tier);
        self.steps += steps.len() as u64 / ORDERED_PER_STEP;
        self.rounds.get_mut(tier).begin(now, steps);
    }

    /// Gives the steps of a round their turns, up to the step of work `last_step`; returns whether
    /// all had theirs.
    fn continue_round(&mut self, now: time::Monotonic, tier: Tier, last_step: u64) -> bool {
        while let Some(step) = self.rounds.get_mut(tier).current() {
            if self.steps >= last_step {
                return false;
            }
            self.steps += 1;
            if self.place_step(now, tier, step, last_step) {
                self.rounds.get_mut(tier).advance();
            }
        }
        true
    }

    /// Places the ready tasks of a step until there is no room; returns whether it had its turn, or
    /// has tasks left because the turn of the loop is over.
    fn place_step(
        &mut self,
        now: time::Monotonic,
        tier: Tier,
        step: id::StepId,
        last_step: u64,
    ) -> bool {
        let Some(job) = self.jobs.get(&step.job) else { return true };
        let Some(queue) = self.routes.queue(&job.queue) else { return true };
        let job = Arc::clone(&job.spec);
        let Some(spec) = job.steps.get(usize::from(step.step)) else { return true };
        let image = self.interference.intern(spec.image.as_deref());
        let kind = Kind {
            pool: self.workers.pool(&queue.pool),
            filler: (spec.kind() == job::StepKind::Filler).then_some(image),
            required_label: spec.required_label.clone(),
        };
        if self.rounds.get_mut(tier).without_room.includes(&kind, &spec.needs) {
            return true;
        }
        for index in self.ready.tasks(step) {
            if self.steps >= last_step {
                return false;
            }
            let task = step.task(index);
            let worker = match self.locality(now, task, spec) {
                locality::Place::Anywhere => {
                    self.choose_worker(Search { now, pool: kind.pool, task, spec, image })
                }
                locality::Place::Worker(worker) => Some(worker),
                locality::Place::Wait => return true,
            };
            let Some(worker) = worker else {
                // Others need not wait for a calm worker.
                if self.waits_for_calm(now, task, spec) {
                    continue;
                }
                if spec.max_per_worker.is_none() {
                    self.rounds.get_mut(tier).without_room.add(kind, spec.needs);
                }
                return true;
            };
            self.start(now, worker, task, spec);
            self.steps += STEPS_PER_START;
        }
        true
    }
}
