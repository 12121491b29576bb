use std::time::Duration;

use comfreymill_types::time;

use super::choice::Choice;
use super::decision::{self, Case};
use super::durations::Expected;
use super::forecast::{Forecast, Opening};
use super::hook::Place;
use super::observed;
use super::wait::RackView;
use crate::id;
use crate::job;
use crate::scheduler::Scheduler;
use crate::scheduler::choice::is_allowed;

/// Time after its last wait for which a rack is kept free of tasks that are as fast elsewhere.
const WANTED_PERIOD: Duration = Duration::from_secs(1);
/// Steps of work that a weighing counts for.
pub(super) const STEPS_PER_WEIGHING: u64 = 50;
/// Number of steps that are weighed with one forecast of a rack, which bounds the time that this
/// takes.
const MAX_WEIGHED: usize = 32;

/// # Weighing of waits
impl Scheduler {
    /// Decides whether the ready tasks of a step wait for its rack, which has no room for all of
    /// them. One task elsewhere makes the whole step slow, so all of them wait or none.
    pub(super) fn weigh_wait(
        &mut self,
        now: time::Monotonic,
        pool: &str,
        step: id::StepId,
        spec: &job::StepSpec,
        rack: &str,
    ) -> Place {
        let mut view = self.take_view(now, rack);
        let verdict = match view.verdicts.get(&step) {
            Some(verdict) => *verdict,
            None => {
                let verdict = self.weigh_wait_with(now, pool, step, spec, rack, &mut view);
                view.verdicts.insert(step, verdict);
                verdict
            }
        };
        self.locality.views.insert(rack.to_owned(), view);
        match verdict {
            Some(until) if now < until => Place::Wait,
            Some(_) => {
                self.locality.give_up(now, step, "the time is up");
                Place::Anywhere
            }
            None => Place::Anywhere,
        }
    }

    /// Returns the time until which the ready tasks of a step wait, if they do.
    fn weigh_wait_with(
        &mut self,
        now: time::Monotonic,
        pool: &str,
        step: id::StepId,
        spec: &job::StepSpec,
        rack: &str,
        view: &mut RackView,
    ) -> Option<time::Monotonic> {
        // A long queue at the rack is hopeless for those at its end.
        if view.verdicts.len() >= MAX_WEIGHED {
            self.locality.give_up(now, step, "too many steps want the rack");
            return None;
        }
        let wait = self.locality.waits.get(&step);
        if wait.is_some_and(|wait| wait.is_given_up) || self.has_begun_away(step, spec) {
            return None;
        }
        let since = wait.map_or(now, |wait| wait.since);
        self.steps += STEPS_PER_WEIGHING;
        let mut forecast = view.forecast.clone();
        let opening = self.book_all(&mut forecast, pool, step, spec);
        let case = self.case(now, step, spec, opening, since)?;
        match decision::decide(&case) {
            Choice::Wait(span) => {
                view.forecast = forecast;
                self.locality.wait(now, step, rack, case);
                self.mark_wanted(now, rack);
                Some(now + span)
            }
            Choice::Anywhere(reason) => {
                self.locality.give_up(now, step, reason.as_str());
                None
            }
        }
    }

    /// Marks the workers of a rack that is waited for.
    fn mark_wanted(&mut self, now: time::Monotonic, rack: &str) {
        let until = now + WANTED_PERIOD;
        for number in self.locality.racks.workers(rack) {
            // Each change of a worker is indexed again.
            let entry = self.workers.get(number);
            let is_marked = entry.is_none_or(|entry| now + WANTED_PERIOD / 2 < entry.wanted_until);
            if !is_marked && let Some(entry) = self.workers.get_mut(number) {
                entry.wanted_until = until;
            }
        }
    }

    /// Books places for all ready tasks of a step; returns when the last one starts, if places for
    /// all of them are in sight.
    pub(super) fn book_all(
        &self,
        forecast: &mut Forecast,
        pool: &str,
        step: id::StepId,
        spec: &job::StepSpec,
    ) -> Option<Opening> {
        let duration = self.expected_duration(step, spec).into();
        let is_allowed =
            |number| self.workers.get(&number).is_some_and(|e| is_allowed(e, pool, step, spec));
        let mut last = Opening::default();
        for _ in self.ready.tasks(step) {
            last = last.max(forecast.book(&spec.reserved(), duration, is_allowed)?);
        }
        Some(last)
    }

    /// Returns whether a task of the step runs away from the step's data.
    fn has_begun_away(&self, step: id::StepId, spec: &job::StepSpec) -> bool {
        let placed = self.workers_of_step(step);
        placed.into_iter().any(|entry| observed::is_away(entry, spec))
    }

    /// Returns what a decision on a task of the step is made from; the task has waited since
    /// `since`.
    pub(super) fn case(
        &self,
        now: time::Monotonic,
        step: id::StepId,
        spec: &job::StepSpec,
        opening: Option<Opening>,
        since: time::Monotonic,
    ) -> Option<Case> {
        let factor = self.locality.factor?;
        let rank = self.rank(step)?;
        let Expected { mean, spread } = self.expected_duration(step, spec);
        let path_ms = self.jobs.get(&step.job)?.remaining_path_ms(step.step);
        let estimate = Duration::from_millis(u64::from(spec.estimate_ms));
        let end = now + Duration::from_millis(path_ms) + mean.saturating_sub(estimate);
        Some(Case {
            opening,
            extra: factor.extra(mean),
            spread: factor.remote(spread),
            slack: (rank.due_at > end).then(|| rank.due_at.since(end)),
            waited: now.since(since),
        })
    }

    /// Takes the view of a rack; a new one has the current forecast.
    pub(super) fn take_view(&mut self, now: time::Monotonic, rack: &str) -> RackView {
        match self.locality.views.remove(rack) {
            Some(view) => view,
            None => RackView { forecast: self.forecast(now, rack), ..RackView::default() },
        }
    }
}
