use std::collections::{BTreeMap, BTreeSet};

use comfreymill_types::time;

use super::choice::Choice;
use super::decision;
use super::racks;
use super::weigh;
use crate::id;
use crate::job;
use crate::scheduler::Scheduler;
use crate::scheduler::task::TaskPhase;
use crate::scheduler::worker::WorkerEntry;

/// Number of racks that are examined for a step, those with the most room first.
const MAX_RACKS: usize = 4;

/// # Racks of steps that are slower on several racks
impl Scheduler {
    /// Returns the rack for the tasks of a step that is rack-sensitive: the one where it has begun,
    /// or the one that has room for all of it first; `None` if the step does not wait for one.
    pub(super) fn group_rack(
        &mut self,
        now: time::Monotonic,
        pool: &str,
        step: id::StepId,
        spec: &job::StepSpec,
    ) -> Option<String> {
        if let Some(chosen) = self.locality.groups.get(&step) {
            return chosen.clone();
        }
        let begun_on = self.racks_of_step(step);
        let chosen = match begun_on.len() {
            0 => {
                let weighings = MAX_RACKS as u64 * weigh::STEPS_PER_WEIGHING;
                self.steps += self.workers.len() as u64 + weighings;
                self.choose_rack(now, pool, step, spec)
            }
            1 => begun_on.first().cloned(),
            _ => None,
        };
        self.locality.groups.insert(step, chosen.clone());
        chosen
    }

    /// Returns the racks on which tasks of the step are.
    pub(super) fn racks_of_step(&self, step: id::StepId) -> BTreeSet<String> {
        let workers = self.workers_of_step(step).into_iter();
        workers.filter_map(|entry| racks::rack_of(&entry.announcement)).map(str::to_owned).collect()
    }

    /// Returns the workers on which tasks of the step are.
    pub(super) fn workers_of_step(&self, step: id::StepId) -> Vec<&WorkerEntry> {
        let job = self.jobs.get(&step.job);
        let occurrence = job.and_then(|job| job.occurrences.get(&step.occurrence));
        let tasks = occurrence.and_then(|entry| entry.steps.get(usize::from(step.step)));
        let tasks = tasks.map(|step| step.tasks.as_slice()).unwrap_or_default();
        let workers = tasks.iter().filter_map(|task| match task.phase {
            TaskPhase::Placed(number) => self.workers.get(&number),
            _ => None,
        });
        workers.collect()
    }

    fn choose_rack(
        &self,
        now: time::Monotonic,
        pool: &str,
        step: id::StepId,
        spec: &job::StepSpec,
    ) -> Option<String> {
        let openings = self.roomiest_racks(now, pool).into_iter().filter_map(|rack| {
            let view = self.locality.views.get(&rack);
            let forecast = view.map(|view| view.forecast.clone());
            let mut forecast = forecast.unwrap_or_else(|| self.forecast(now, &rack));
            Some((self.book_all(&mut forecast, pool, step, spec)?, rack))
        });
        let (opening, rack) = openings.min_by_key(|(opening, _)| *opening)?;
        if opening.expected.is_zero() {
            return Some(rack);
        }
        let case = self.case(now, step, spec, Some(opening), now);
        matches!(decision::decide(&case?), Choice::Wait(_)).then_some(rack)
    }

    /// Returns the racks of the pool with the most free processor time.
    fn roomiest_racks(&self, now: time::Monotonic, pool: &str) -> Vec<String> {
        let mut free: BTreeMap<&str, u64> = BTreeMap::new();
        let usable = self.workers.values().filter(|worker| worker.is_usable(now));
        for entry in usable.filter(|worker| worker.announcement.pool == pool) {
            if let Some(rack) = racks::rack_of(&entry.announcement) {
                *free.entry(rack).or_default() += u64::from(entry.free().cpu_milli);
            }
        }
        let mut racks: Vec<_> = free.into_iter().collect();
        racks.sort_unstable_by_key(|(rack, free)| (std::cmp::Reverse(*free), *rack));
        racks.into_iter().take(MAX_RACKS).map(|(rack, _)| rack.to_owned()).collect()
    }
}
