use std::collections::BTreeMap;

use comfreymill_types::time;

use super::Scheduler;
use super::interference::ImageId;
use crate::id;
use crate::job;
use crate::worker;

/// Resource needs for which no worker had room in this round, by pool and, for fillers, image.
type Unplaceable = BTreeMap<(String, Option<ImageId>), Vec<worker::Resources>>;

/// # Placement of ready tasks
impl Scheduler {
    /// Places ready tasks on workers, if anything has changed since the last call.
    pub fn place(&mut self, now: time::Monotonic) {
        if !self.needs_placement || self.is_fenced {
            return;
        }
        self.needs_placement = false;
        self.placed_at = now;
        self.finish_moves(now);
        self.hold_workers(now);
        if self.ready.is_empty() {
            self.begin_moves(now);
            return;
        }
        let mut unplaceable = Unplaceable::new();
        for step in self.steps_by_lateness(now) {
            self.place_step(now, step, &mut unplaceable);
        }
        self.begin_moves(now);
    }

    fn place_step(
        &mut self,
        now: time::Monotonic,
        step: id::StepId,
        unplaceable: &mut Unplaceable,
    ) {
        let Some(job) = self.jobs.get(&step.job) else { return };
        let Some(queue) = self.routes.queue(&job.queue) else { return };
        let pool = queue.pool.clone();
        let Some(spec) = job.spec.steps.get(usize::from(step.step)).cloned() else { return };
        let image = self.interference.intern(spec.image.as_deref());
        let filler = (spec.kind() == job::StepKind::Filler).then_some(image);
        let kind = (pool.clone(), filler);
        let is_unplaceable =
            |list: &Vec<worker::Resources>| list.iter().any(|needs| spec.needs.covers(needs));
        if unplaceable.get(&kind).is_some_and(is_unplaceable) {
            return;
        }
        for index in self.ready.tasks(step) {
            if filler.is_some() {
                self.compute_headroom();
            }
            let Some(worker) = self.choose_worker(now, &pool, step.task(index), &spec, image)
            else {
                let has_worker_limits =
                    spec.required_label.is_some() || spec.max_per_worker.is_some();
                if !has_worker_limits {
                    unplaceable.entry(kind).or_default().push(spec.needs);
                }
                return;
            };
            self.start(now, worker, step.task(index), &spec);
        }
    }
}
